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
    session.sent(statement(kind));
    session.answered(true, after, position);
}

} // namespace

Test(forwardedsession, aLostReadMayRunAgain)
{
    auto one = session();
    one.sent(statement(StatementKind::Read));
    cr_assert(!one.lost());
}

Test(forwardedsession, aLostWriteIsUnknown)
{
    auto one = session();
    one.sent(statement(StatementKind::Write));
    const auto told = one.lost();
    cr_assert(told && told->error->kind == ErrorKind::OutcomeUnknown && told->state == SessionState::Idle);
}

Test(forwardedsession, ownWritesAreRememberedByTheirPositions)
{
    auto one = session();
    pass(one, StatementKind::Write, SessionState::Idle, mark(7));
    cr_assert(one.known() && one.session().lastCommit() == mark(7));
    pass(one, StatementKind::Write, SessionState::Idle);
    cr_assert(!one.known(), "later reads could not be proved to hold the write");
}

Test(forwardedsession, aTransactionEndsWithItsProxy)
{
    auto one = session();
    pass(one, StatementKind::Begin, SessionState::InTransaction);
    pass(one, StatementKind::Write, SessionState::InTransaction, mark(3));
    cr_assert(one.known());
    one.sent(statement(StatementKind::Read));
    const auto told = one.lost();
    cr_assert(told && told->error->kind == ErrorKind::TransactionAborted && told->state == SessionState::Failed);
}

Test(forwardedsession, aLostCommitOfWritesIsUnknownAndOneOfReadsIsNot)
{
    for (const auto kind : {StatementKind::Write, StatementKind::Read}) {
        auto one = session();
        pass(one, StatementKind::Begin, SessionState::InTransaction);
        pass(one, kind, SessionState::InTransaction, mark(3));
        one.sent(statement(StatementKind::Commit));
        const auto told = one.lost();
        const auto expected = kind == StatementKind::Write ? ErrorKind::OutcomeUnknown : ErrorKind::TransactionAborted;
        cr_assert(told && told->error->kind == expected && told->state == SessionState::Idle);
    }
}

Test(forwardedsession, theFirstStatementOfATransactionMayRunAgain)
{
    auto one = session();
    pass(one, StatementKind::Begin, SessionState::InTransaction);
    one.sent(statement(StatementKind::Write));
    cr_assert(!one.lost() && one.session().phase() == TransactionPhase::Announced, "what ran was rolled back with the connection");
}

Test(forwardedsession, nothingIsSaidTwiceAndNothingGuessed)
{
    auto one = session();
    one.sent(statement(StatementKind::Read));
    one.partPassed();
    cr_assert(!one.known(), "the caller holds a part of the answer");
    one.answered(true, SessionState::Idle, mark(1));
    cr_assert(one.known());
    one.sent(statement(StatementKind::Read));
    one.answered(true, SessionState::Failed, mark(1));
    cr_assert(!one.known(), "the other proxy is in another state");
}

Test(forwardedsession, whatNeedsNoMemberIsAnsweredHere)
{
    auto one = session();
    auto set = statement(StatementKind::SetValue);
    set.name = "tz";
    set.argument = "utc";
    one.sent(set);
    const auto told = one.lost();
    cr_assert(told && !told->error && one.session().values().at("tz") == "utc");
}
