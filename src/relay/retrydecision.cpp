// Maps a failed exchange to the caller's answer, and decides whether the statement may be sent again.
#include "relay/retrydecision.h"

namespace cardamomstep::relay {

namespace {

bool isStandalone(RetryClass retryClass)
{
    return retryClass == RetryClass::Read || retryClass == RetryClass::Write;
}

bool mayHaveDurableEffect(RetryClass retryClass)
{
    return retryClass == RetryClass::Write || retryClass == RetryClass::CommitOfWrites;
}

/// Returns the error for a fault that guarantees that nothing ran or that the transaction was rolled back.
Error notRunError(MemberFault fault)
{
    switch (fault) {
    case MemberFault::Lagging:
        return {ErrorKind::NotFresh, "the member has not replicated the requested position"};
    case MemberFault::ReadOnly:
        return {ErrorKind::Superseded, "the member is not the primary"};
    case MemberFault::Aborted:
        return {ErrorKind::TransactionAborted, "the member rolled the transaction back"};
    default:
        return {ErrorKind::Overloaded, "the member refused the statement before running it"};
    }
}

RetryDecision replyLostDecision(RetryClass retryClass)
{
    if (mayHaveDurableEffect(retryClass)) {
        return {false, {ErrorKind::OutcomeUnknown, "the member's reply was lost"}};
    }
    if (isStandalone(retryClass)) {
        return {true, {ErrorKind::StatementTimeout, "the member's reply was lost"}};
    }
    return {false, {ErrorKind::TransactionAborted, "the connection was lost; the transaction is rolled back"}};
}

RetryDecision refusedDecision(RetryClass retryClass, MemberFault fault)
{
    if (guaranteesNotExecuted(fault)) {
        return {isStandalone(retryClass), notRunError(fault)};
    }
    if (fault == MemberFault::Failed) {
        return {retryClass == RetryClass::Read, {ErrorKind::StatementFailed, "the member failed to run the statement"}};
    }
    if (fault == MemberFault::TimedOut) {
        return {retryClass == RetryClass::Read, {ErrorKind::StatementTimeout, "the statement took too long at the member"}};
    }
    if (fault == MemberFault::Malformed) {
        return {false, {ErrorKind::MalformedRequest, "the member cannot read the statement"}};
    }
    return replyLostDecision(retryClass);
}

} // namespace

RetryClass retryClassOf(const CallerSession &session, const SessionStatement &statement)
{
    if (session.phase() == TransactionPhase::None) {
        return session.writes(statement) ? RetryClass::Write : RetryClass::Read;
    }
    if (statement.kind == StatementKind::Commit) {
        return session.wrote() ? RetryClass::CommitOfWrites : RetryClass::CommitOfReads;
    }
    return RetryClass::InTransaction;
}

RetryDecision classifyFailure(RetryClass retryClass, ExchangeEnd end, std::optional<MemberFault> fault)
{
    if (end == ExchangeEnd::NotSent) {
        if (isStandalone(retryClass)) {
            return {true, {ErrorKind::EndpointUnreachable, "the member could not be reached"}};
        }
        return {false, {ErrorKind::TransactionAborted, "the connection was lost; the transaction is rolled back"}};
    }
    if (end == ExchangeEnd::Refused) {
        return refusedDecision(retryClass, fault.value_or(MemberFault::Unknown));
    }
    return replyLostDecision(retryClass);
}

} // namespace cardamomstep::relay
