// The table from a failed exchange to the caller's answer.
#include "relay/retrydecision.h"

namespace cardamomstep::relay {

namespace {

bool isAlone(Stake stake)
{
    return stake == Stake::Read || stake == Stake::Write;
}

bool mayHaveLasting(Stake stake)
{
    return stake == Stake::Write || stake == Stake::CommitOfWrites;
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

Outcome lostAnswer(Stake stake)
{
    if (mayHaveLasting(stake)) {
        return {false, {ErrorKind::OutcomeUnknown, "the member's answer was lost"}};
    }
    if (isAlone(stake)) {
        return {true, {ErrorKind::StatementTimeout, "the member's answer was lost"}};
    }
    return {false, {ErrorKind::TransactionAborted, "the connection was lost; the transaction is rolled back"}};
}

Outcome refused(Stake stake, MemberFault fault)
{
    if (promisesNoRun(fault)) {
        return {isAlone(stake), notRun(fault)};
    }
    if (fault == MemberFault::Failed) {
        return {stake == Stake::Read, {ErrorKind::StatementFailed, "the member failed to run the statement"}};
    }
    if (fault == MemberFault::TimedOut) {
        return {stake == Stake::Read, {ErrorKind::StatementTimeout, "the statement took too long at the member"}};
    }
    if (fault == MemberFault::Malformed) {
        return {false, {ErrorKind::MalformedRequest, "the member cannot read the statement"}};
    }
    return lostAnswer(stake);
}

} // namespace

Stake stakeOf(const CallerSession &session, const SessionStatement &statement)
{
    if (session.phase() == TransactionPhase::None) {
        return session.writes(statement) ? Stake::Write : Stake::Read;
    }
    if (statement.kind == StatementKind::Commit) {
        return session.wrote() ? Stake::CommitOfWrites : Stake::CommitOfReads;
    }
    return Stake::Inside;
}

Outcome judge(Stake stake, ExchangeEnd end, std::optional<MemberFault> fault)
{
    if (end == ExchangeEnd::NotSent) {
        if (isAlone(stake)) {
            return {true, {ErrorKind::EndpointUnreachable, "the member could not be reached"}};
        }
        return {false, {ErrorKind::TransactionAborted, "the connection was lost; the transaction is rolled back"}};
    }
    if (end == ExchangeEnd::Refused) {
        return refused(stake, fault.value_or(MemberFault::Unknown));
    }
    return lostAnswer(stake);
}

} // namespace cardamomstep::relay
