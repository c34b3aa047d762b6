// The inputs of a GroupMonitor as values, so that they can be recorded and replayed.
#pragma once

#include "groups/monitor.h"
#include "trace/fwd.h"

#include <variant>
#include <vector>

namespace cardamomstep::trace {

/// GroupMonitor::tick().
struct Tick {
};
/// GroupMonitor::onReport().
struct Report {
    MemberName member;
    MemberReport report;
    TimePoint sentAt;
};
/// GroupMonitor::onConnectionFailure().
struct ReportFailure {
    MemberName member;
    ConnectionFailure failure;
};
/// GroupMonitor::onOrderReply().
struct OrderReply {
    MemberName member;
    OrderKind kind = OrderKind::Adopt;
    Term term;
    TermReply reply;
    TimePoint sentAt;
};
/// GroupMonitor::onOrderFailure().
struct OrderFailure {
    MemberName member;
    OrderKind kind = OrderKind::Adopt;
    Term term;
    ConnectionFailure failure;
};
/// GroupMonitor::onPeerObservation().
struct Observation {
    InstanceName peer;
    PeerObservation observation;
};
/// GroupMonitor::onStatementEvidence().
struct StatementEvidence {
    MemberName member;
};
/// GroupMonitor::setRank().
struct SetRank {
    unsigned rank = 0;
};
/// GroupMonitor::setMembers().
struct SetMembers {
    std::vector<GroupMember> members;
};
/// GroupMonitor::setPolicy().
struct SetPolicy {
    GroupPolicy policy;
};
/// GroupMonitor::requestSwitchover().
struct RequestSwitchover {
    MemberName leaving;
};
/// GroupMonitor::onPeerWritePause().
struct PeerWritePause {
    TimePoint until;
};

/// One input of a GroupMonitor.
using GroupInput = std::variant<Tick,
                                Report,
                                ReportFailure,
                                OrderReply,
                                OrderFailure,
                                Observation,
                                StatementEvidence,
                                SetRank,
                                SetMembers,
                                SetPolicy,
                                RequestSwitchover,
                                PeerWritePause>;

/// Calls the function of \a monitor that handles \a input, at the time \a now, and returns its actions.
[[nodiscard]] GroupActions apply(GroupMonitor &monitor, const GroupInput &input, TimePoint now);

} // namespace cardamomstep::trace
