// Tests of sessions that another proxy serves, up to its loss.
#include "relay/forwardedsession.h"

#include <criterion/criterion.h>

using namespace cardamomstep;
using namespace cardamomstep::relay;

namespace {

SessionStatement statement(StatementKind kind)
{
    SessionStatement made;
    made.kind = kind;
    return made;
}

LogPosition mark(std::uint64_t number)
{
    return LogPosition{Term{1, 0}, number};
}

ForwardedSession session()
{
    return ForwardedSession{DatabaseName{"db"}};
}

void pass(ForwardedSession &session, StatementKind kind, SessionState after, std::optional<LogPosition> position = {})
{
    session.onStatement(statement(kind));
    session.onAnswer(true, after, position);
}

} // namespace

Test(forwardedsession, aLostReadMayRunAgain)
{
    auto one = session();
    one.onStatement(statement(StatementKind::Read));
    cr_assert(!one.onProxyLost());
}

Test(forwardedsession, aLostWriteIsUnknown)
{
    auto one = session();
    one.onStatement(statement(StatementKind::Write));
    const auto told = one.onProxyLost();
    cr_assert(told && told->error->kind == ErrorKind::OutcomeUnknown && told->state == SessionState::Idle);
}

Test(forwardedsession, ownWritesAreRememberedByTheirPositions)
{
    auto one = session();
    pass(one, StatementKind::Write, SessionState::Idle, mark(7));
    cr_assert(one.isResumable() && one.session().lastCommit() == mark(7));
    pass(one, StatementKind::Write, SessionState::Idle);
    cr_assert(!one.isResumable(), "later reads could not be proved to hold the write");
}

Test(forwardedsession, aTransactionEndsWithItsProxy)
{
    auto one = session();
    pass(one, StatementKind::Begin, SessionState::InTransaction);
    pass(one, StatementKind::Write, SessionState::InTransaction, mark(3));
    cr_assert(one.isResumable());
    one.onStatement(statement(StatementKind::Read));
    const auto told = one.onProxyLost();
    cr_assert(told && told->error->kind == ErrorKind::TransactionAborted && told->state == SessionState::Failed);
}

Test(forwardedsession, aLostCommitOfWritesIsUnknownAndOneOfReadsIsNot)
{
    for (const auto kind : {StatementKind::Write, StatementKind::Read}) {
        auto one = session();
        pass(one, StatementKind::Begin, SessionState::InTransaction);
        pass(one, kind, SessionState::InTransaction, mark(3));
        one.onStatement(statement(StatementKind::Commit));
        const auto told = one.onProxyLost();
        const auto expected = kind == StatementKind::Write ? ErrorKind::OutcomeUnknown : ErrorKind::TransactionAborted;
        cr_assert(told && told->error->kind == expected && told->state == SessionState::Idle);
    }
}

Test(forwardedsession, theFirstStatementOfATransactionMayRunAgain)
{
    auto one = session();
    pass(one, StatementKind::Begin, SessionState::InTransaction);
    one.onStatement(statement(StatementKind::Write));
    cr_assert(!one.onProxyLost() && one.session().phase() == TransactionPhase::BeginDeferred,
              "what ran was rolled back with the connection");
}

Test(forwardedsession, nothingIsSaidTwiceAndNothingGuessed)
{
    auto one = session();
    one.onStatement(statement(StatementKind::Read));
    one.onPartialAnswer();
    cr_assert(!one.isResumable(), "the caller holds a part of the answer");
    one.onAnswer(true, SessionState::Idle, mark(1));
    cr_assert(one.isResumable());
    one.onStatement(statement(StatementKind::Read));
    one.onAnswer(true, SessionState::Failed, mark(1));
    cr_assert(!one.isResumable(), "the other proxy is in another state");
}

Test(forwardedsession, whatNeedsNoMemberIsAnsweredHere)
{
    auto one = session();
    auto set = statement(StatementKind::SetValue);
    set.name = "tz";
    set.argument = "utc";
    one.onStatement(set);
    const auto told = one.onProxyLost();
    cr_assert(told && !told->error && one.session().values().at("tz") == "utc");
}
