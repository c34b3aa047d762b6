// Follows a session that another proxy serves.
#include "relay/forwardedsession.h"

#include "relay/retrydecision.h"

namespace cardamomstep::relay {

void ForwardedSession::sent(const SessionStatement &statement)
{
    statement_ = statement;
    reply_ = CallerReply{};
    partPassed_ = false;
    need_ = session_.take(statement, reply_);
}

void ForwardedSession::answered(bool success, SessionState state, const std::optional<Mark> &position)
{
    partPassed_ = false;
    if (need_ == StatementNeed::Forward) {
        // Without the position of a write, later reads could not be proved to hold it.
        known_ = known_ && (!success || !lasting() || position.has_value());
        if (success && session_.phase() == TransactionPhase::Announced) {
            session_.opened();
        }
        if (success) {
            session_.succeeded(statement_, position);
        } else {
            session_.failed(statement_);
        }
    }
    known_ = known_ && session_.state() == state;
}

std::optional<CallerReply> ForwardedSession::lost()
{
    if (need_ != StatementNeed::Forward) {
        return reply_;
    }
    const bool harmless = session_.phase() == TransactionPhase::Announced;
    const auto outcome = judge(harmless ? Stake::Read : stakeOf(session_, statement_), ExchangeEnd::Broken, std::nullopt);
    if (outcome.mayResend) {
        return std::nullopt;
    }
    session_.failed(statement_);
    CallerReply reply;
    reply.error = outcome.error;
    reply.state = session_.state();
    return reply;
}

/// True when success of the statement under way has lasting effects.
bool ForwardedSession::lasting() const
{
    const auto stake = stakeOf(session_, statement_);
    return stake == Stake::Write || stake == Stake::CommitOfWrites;
}

} // namespace cardamomstep::relay
