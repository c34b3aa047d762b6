// The table from a failed exchange to the caller's answer.
#include "relay/retrydecision.h"

namespace cardamomstep::relay {

namespace {

bool isAlone(RetryClass retryClass)
{
    return retryClass == RetryClass::Read || retryClass == RetryClass::Write;
}

bool mayHaveDurableEffect(RetryClass retryClass)
{
    return retryClass == RetryClass::Write || retryClass == RetryClass::CommitOfWrites;
}

/// The answer for a fault that promises that nothing ran.
Error notRun(MemberFault fault)
{
    switch (fault) {
    case MemberFault::Lagging:
        return {ErrorKind::NotFresh, "the member lacks the data asked for"};
    case MemberFault::ReadOnly:
        return {ErrorKind::Superseded, "the member does not lead"};
    case MemberFault::Aborted:
        return {ErrorKind::TransactionAborted, "the member rolled the transaction back"};
    default:
        return {ErrorKind::Overloaded, "the member takes no more work"};
    }
}

RetryDecision lostAnswer(RetryClass retryClass)
{
    if (mayHaveDurableEffect(retryClass)) {
        return {false, {ErrorKind::OutcomeUnknown, "the member's answer was lost"}};
    }
    if (isAlone(retryClass)) {
        return {true, {ErrorKind::StatementTimeout, "the member's answer was lost"}};
    }
    return {false, {ErrorKind::TransactionAborted, "the connection was lost; the transaction is rolled back"}};
}

RetryDecision refused(RetryClass retryClass, MemberFault fault)
{
    if (guaranteesNotExecuted(fault)) {
        return {isAlone(retryClass), notRun(fault)};
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
    return lostAnswer(retryClass);
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
        if (isAlone(retryClass)) {
            return {true, {ErrorKind::EndpointUnreachable, "the member could not be reached"}};
        }
        return {false, {ErrorKind::TransactionAborted, "the connection was lost; the transaction is rolled back"}};
    }
    if (end == ExchangeEnd::Refused) {
        return refused(retryClass, fault.value_or(MemberFault::Unknown));
    }
    return lostAnswer(retryClass);
}

} // namespace cardamomstep::relay
