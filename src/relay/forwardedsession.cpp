// Tracks the state of a session that another proxy serves.
#include "relay/forwardedsession.h"

#include "relay/retrydecision.h"

namespace cardamomstep::relay {

void ForwardedSession::onStatement(const SessionStatement &statement)
{
    statement_ = statement;
    reply_ = CallerReply{};
    partialAnswerSent_ = false;
    disposition_ = session_.handle(statement, reply_);
}

void ForwardedSession::onAnswer(bool success, SessionState state, const std::optional<LogPosition> &position)
{
    partialAnswerSent_ = false;
    if (disposition_ == StatementDisposition::Forward) {
        // Without the position of a write, later reads cannot be proved to include it.
        stateCertain_ = stateCertain_ && (!success || !hasDurableEffect() || position.has_value());
        if (success && session_.phase() == TransactionPhase::BeginDeferred) {
            session_.transactionOpened();
        }
        if (success) {
            session_.statementSucceeded(statement_, position);
        } else {
            session_.statementFailed(statement_);
        }
    }
    stateCertain_ = stateCertain_ && session_.state() == state;
}

std::optional<CallerReply> ForwardedSession::onProxyLost()
{
    if (disposition_ != StatementDisposition::Forward) {
        return reply_;
    }
    // What ran of a transaction that was being opened is rolled back when its connection closes, so its first statement may run again.
    const bool beginDeferred = session_.phase() == TransactionPhase::BeginDeferred;
    const auto decision =
        classifyFailure(beginDeferred ? RetryClass::Read : retryClassOf(session_, statement_), ExchangeEnd::Broken, std::nullopt);
    if (decision.mayResend) {
        return std::nullopt;
    }
    session_.statementFailed(statement_);
    CallerReply reply;
    reply.error = decision.error;
    reply.state = session_.state();
    return reply;
}

/// Returns true if the current statement has durable effects when it succeeds.
bool ForwardedSession::hasDurableEffect() const
{
    const auto retryClass = retryClassOf(session_, statement_);
    return retryClass == RetryClass::Write || retryClass == RetryClass::CommitOfWrites;
}

} // namespace cardamomstep::relay
