// Tests of sessions that are forwarded to another proxy, and of the loss of that proxy.
#include "relay/forwardedsession.h"

#include <criterion/criterion.h>

using namespace cardamomstep;
using namespace cardamomstep::relay;

namespace {

SessionStatement statement(StatementKind kind)
{
    SessionStatement created;
    created.kind = kind;
    return created;
}

LogPosition logPosition(std::uint64_t number)
{
    return LogPosition{Term{1, 0}, number};
}

ForwardedSession newSession()
{
    return ForwardedSession{DatabaseName{"db"}};
}

void runStatement(ForwardedSession &session, StatementKind kind, SessionState stateAfter, std::optional<LogPosition> position = {})
{
    session.onStatement(statement(kind));
    session.onAnswer(true, stateAfter, position);
}

} // namespace

Test(forwardedsession, aLostReadMayRunAgain)
{
    auto forwarded = newSession();
    forwarded.onStatement(statement(StatementKind::Read));
    cr_assert(!forwarded.onProxyLost());
}

Test(forwardedsession, aLostWriteHasAnUnknownOutcome)
{
    auto forwarded = newSession();
    forwarded.onStatement(statement(StatementKind::Write));
    const auto reply = forwarded.onProxyLost();
    cr_assert(reply && reply->error->kind == ErrorKind::OutcomeUnknown && reply->state == SessionState::Idle);
}

Test(forwardedsession, aWriteWithoutAPositionMakesTheSessionNotResumable)
{
    auto forwarded = newSession();
    runStatement(forwarded, StatementKind::Write, SessionState::Idle, logPosition(7));
    cr_assert(forwarded.isResumable() && forwarded.session().lastCommit() == logPosition(7));
    runStatement(forwarded, StatementKind::Write, SessionState::Idle);
    cr_assert(!forwarded.isResumable(), "later reads cannot be proved to include the write");
}

Test(forwardedsession, aTransactionIsAbortedWhenItsProxyIsLost)
{
    auto forwarded = newSession();
    runStatement(forwarded, StatementKind::Begin, SessionState::InTransaction);
    runStatement(forwarded, StatementKind::Write, SessionState::InTransaction, logPosition(3));
    cr_assert(forwarded.isResumable());
    forwarded.onStatement(statement(StatementKind::Read));
    const auto reply = forwarded.onProxyLost();
    cr_assert(reply && reply->error->kind == ErrorKind::TransactionAborted && reply->state == SessionState::Failed);
}

Test(forwardedsession, aLostCommitHasAnUnknownOutcomeOnlyIfTheTransactionWrote)
{
    for (const auto kind : {StatementKind::Write, StatementKind::Read}) {
        auto forwarded = newSession();
        runStatement(forwarded, StatementKind::Begin, SessionState::InTransaction);
        runStatement(forwarded, kind, SessionState::InTransaction, logPosition(3));
        forwarded.onStatement(statement(StatementKind::Commit));
        const auto reply = forwarded.onProxyLost();
        const auto expected = kind == StatementKind::Write ? ErrorKind::OutcomeUnknown : ErrorKind::TransactionAborted;
        cr_assert(reply && reply->error->kind == expected && reply->state == SessionState::Idle);
    }
}

Test(forwardedsession, theFirstStatementOfATransactionMayRunAgain)
{
    auto forwarded = newSession();
    runStatement(forwarded, StatementKind::Begin, SessionState::InTransaction);
    forwarded.onStatement(statement(StatementKind::Write));
    cr_assert(!forwarded.onProxyLost() && forwarded.session().phase() == TransactionPhase::BeginDeferred,
              "a statement that ran was rolled back when its connection closed");
}

Test(forwardedsession, aSessionIsNotResumableAfterAPartialAnswerOrAStateMismatch)
{
    auto forwarded = newSession();
    forwarded.onStatement(statement(StatementKind::Read));
    forwarded.onPartialAnswer();
    cr_assert(!forwarded.isResumable(), "the caller has received a partial answer");
    forwarded.onAnswer(true, SessionState::Idle, logPosition(1));
    cr_assert(forwarded.isResumable());
    forwarded.onStatement(statement(StatementKind::Read));
    forwarded.onAnswer(true, SessionState::Failed, logPosition(1));
    cr_assert(!forwarded.isResumable(), "the other proxy is in another state");
}

Test(forwardedsession, statementsThatNeedNoMemberAreAnsweredLocally)
{
    auto forwarded = newSession();
    auto set = statement(StatementKind::SetValue);
    set.name = "tz";
    set.argument = "utc";
    forwarded.onStatement(set);
    const auto reply = forwarded.onProxyLost();
    cr_assert(reply && !reply->error && forwarded.session().values().at("tz") == "utc");
}
