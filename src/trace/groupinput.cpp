// Calls the GroupMonitor's function that handles an input.
#include "trace/groupinput.h"

namespace cardamomstep::trace {

namespace {

class Applier
{
public:
    Applier(GroupMonitor &monitor, TimePoint now)
        : monitor_(monitor)
        , now_(now)
    {
    }

    GroupActions operator()(const Tick & /*input*/)
    {
        return monitor_.tick(now_);
    }
    GroupActions operator()(const Report &input)
    {
        return monitor_.onReport(input.member, input.report, input.sentAt, now_);
    }
    GroupActions operator()(const ReportFailure &input)
    {
        return monitor_.onConnectionFailure(input.member, input.failure, now_);
    }
    GroupActions operator()(const OrderReply &input)
    {
        return monitor_.onOrderReply(input.member, input.kind, input.term, input.reply, input.sentAt, now_);
    }
    GroupActions operator()(const OrderFailure &input)
    {
        return monitor_.onOrderFailure(input.member, input.kind, input.term, input.failure, now_);
    }
    GroupActions operator()(const Observation &input)
    {
        return monitor_.onPeerObservation(input.peer, input.observation, now_);
    }
    GroupActions operator()(const StatementEvidence &input)
    {
        return monitor_.onStatementEvidence(input.member, now_);
    }
    GroupActions operator()(const SetRank &input)
    {
        return monitor_.setRank(input.rank, now_);
    }
    GroupActions operator()(const SetMembers &input)
    {
        return monitor_.setMembers(input.members, now_);
    }
    GroupActions operator()(const SetPolicy &input)
    {
        return monitor_.setPolicy(input.policy, now_);
    }
    GroupActions operator()(const RequestSwitchover &input)
    {
        return monitor_.requestSwitchover(input.leaving, now_);
    }
    GroupActions operator()(const PeerWritePause &input)
    {
        return monitor_.onPeerWritePause(input.until, now_);
    }

private:
    GroupMonitor &monitor_;
    TimePoint now_;
};

} // namespace

GroupActions apply(GroupMonitor &monitor, const GroupInput &input, TimePoint now)
{
    return std::visit(Applier(monitor, now), input);
}

} // namespace cardamomstep::trace
