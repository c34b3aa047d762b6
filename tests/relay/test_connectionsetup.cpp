// Tests of the proxy's own requests on members' connections, which a member may fail like any other.
#include "relaydriver.h"

#include <criterion/criterion.h>

using namespace cardamomstep;
using namespace cardamomstep::relay;

namespace {

const GroupName groupUnderTest{"g"};

/// Opens sessions 1 to \a count at the primary, each with a value of its own, which is acknowledged.
RelayDriver sessionsWithValues(CallerKey count)
{
    DriverOptions options;
    options.consistency = Consistency::Current;
    RelayDriver driver(options);
    for (CallerKey caller = 1; caller <= count; ++caller) {
        driver.open(caller);
        driver.submit(caller, StatementKind::SetValue, "region", "of-" + std::to_string(caller));
        cr_assert(!driver.lastReply(caller)->error);
    }
    return driver;
}

MemberVerb oldestVerb(const RelayDriver &driver)
{
    cr_assert(!driver.requests.empty());
    return driver.requests.front().second.verb;
}

/// The connection of the oldest request without a reply.
MemberConnectionKey oldestConnection(const RelayDriver &driver)
{
    cr_assert(!driver.requests.empty());
    return driver.requests.front().first;
}

bool isClosed(const RelayDriver &driver, MemberConnectionKey connection)
{
    return std::find(driver.closedConnections.begin(), driver.closedConnections.end(), connection) != driver.closedConnections.end();
}

} // namespace

// A member that failed a SET ran the statement behind it with the values of the session that had used the connection before.
Test(connectionsetup, noStatementFollowsASetThatTheMemberFails)
{
    auto driver = sessionsWithValues(2);
    driver.submit(1, StatementKind::Write);
    driver.replyNext();
    driver.submit(2, StatementKind::Write);
    const auto connection = oldestConnection(driver);
    cr_assert(driver.requests.size() == 1 && oldestVerb(driver) == MemberVerb::SetValue, "the statement waits for the reply");
    driver.replyToOldest(MemberFault::Failed);
    cr_assert(isClosed(driver, connection));
    driver.advance(400);
    cr_assert(oldestConnection(driver) != connection && oldestVerb(driver) == MemberVerb::SetValue);
    cr_assert(driver.requests.front().second.text == "of-2");
    driver.replyToOldest();
    cr_assert(driver.requests.size() == 1 && oldestVerb(driver) == MemberVerb::Forward);
    driver.replyNext();
    cr_assert(!driver.lastReply(2)->error);
    cr_assert(driver.statementTargets.size() == 2, "each write was sent once");
}

Test(connectionsetup, noStatementFollowsAResetThatTheMemberFails)
{
    auto driver = sessionsWithValues(1);
    driver.submit(1, StatementKind::Write);
    driver.replyNext();
    driver.open(2);
    driver.submit(2, StatementKind::Write);
    const auto connection = oldestConnection(driver);
    cr_assert(driver.requests.size() == 1 && oldestVerb(driver) == MemberVerb::ResetSession);
    driver.replyToOldest(MemberFault::Busy);
    cr_assert(isClosed(driver, connection));
    cr_assert(driver.statementTargets.size() == 1);
}

Test(connectionsetup, noExecutionFollowsAPreparationThatTheMemberFails)
{
    DriverOptions options;
    options.consistency = Consistency::Current;
    RelayDriver driver(options);
    driver.open(1);
    driver.submit(1, StatementKind::Prepare, "s1", "shape");
    driver.submit(1, StatementKind::Execute, "s1", "a");
    const auto connection = oldestConnection(driver);
    cr_assert(driver.requests.size() == 1 && oldestVerb(driver) == MemberVerb::Prepare);
    driver.replyToOldest(MemberFault::Failed);
    cr_assert(isClosed(driver, connection));
    cr_assert(driver.statementTargets.empty());
}

Test(connectionsetup, aTransactionEndsWhenTheMemberFailsASetInIt)
{
    auto driver = sessionsWithValues(1);
    driver.submit(1, StatementKind::Begin);
    driver.submit(1, StatementKind::Write);
    driver.replyNext();
    driver.submit(1, StatementKind::SetValue, "region", "another");
    driver.submit(1, StatementKind::Write);
    const auto connection = oldestConnection(driver);
    cr_assert(driver.requests.size() == 1 && oldestVerb(driver) == MemberVerb::SetValue);
    driver.replyToOldest(MemberFault::Failed);
    cr_assert(isClosed(driver, connection), "which rolls the transaction back");
    cr_assert(driver.lastReply(1)->error->kind == ErrorKind::TransactionAborted);
    cr_assert(driver.lastReply(1)->state == SessionState::Failed);
    cr_assert(driver.statementTargets.size() == 1);
}

Test(connectionsetup, noStatementFollowsABeginThatTheMemberFailsOrDoesNotPerform)
{
    for (const bool fails : {true, false}) {
        auto driver = sessionsWithValues(0);
        driver.open(1);
        driver.submit(1, StatementKind::Begin);
        driver.submit(1, StatementKind::Write);
        const auto connection = oldestConnection(driver);
        cr_assert(oldestVerb(driver) == MemberVerb::Begin);
        MemberReply reply;
        reply.fault = fails ? std::optional(MemberFault::Failed) : std::nullopt;
        // A transaction is open after the failed one, and none after the other: neither connection is in a known state.
        reply.state = fails ? SessionState::InTransaction : SessionState::Idle;
        driver.requests.clear();
        driver.engine.connectionReplied(connection, reply, driver.now);
        driver.performActions();
        cr_assert(driver.statementTargets.empty());
        cr_assert(isClosed(driver, connection));
    }
}

// A rollback that failed left its transaction open, and the next session's statements ran inside it.
Test(connectionsetup, aConnectionWhoseRollbackFailsIsNotUsedAgain)
{
    auto driver = sessionsWithValues(0);
    driver.open(1);
    driver.submit(1, StatementKind::Begin);
    driver.submit(1, StatementKind::Write);
    driver.replyNext();
    driver.submit(1, StatementKind::Rollback);
    const auto connection = oldestConnection(driver);
    cr_assert(oldestVerb(driver) == MemberVerb::Rollback);
    driver.replyToOldest(MemberFault::Failed);
    cr_assert(isClosed(driver, connection));
}

Test(connectionsetup, aConnectionWithAnOpenTransactionServesNoOtherCaller)
{
    auto driver = sessionsWithValues(0);
    driver.open(1);
    driver.submit(1, StatementKind::Write);
    const auto connection = oldestConnection(driver);
    driver.inTransaction.insert(connection);
    driver.replyNext();
    cr_assert(!driver.lastReply(1)->error);
    cr_assert(isClosed(driver, connection));
}

Test(connectionsetup, aWriteWhoseConnectionBreaksDuringSetupIsSentAgain)
{
    auto driver = sessionsWithValues(1);
    driver.submit(1, StatementKind::Write);
    const auto connection = oldestConnection(driver);
    driver.requests.clear();
    driver.engine.connectionClosed(connection, std::nullopt, driver.now);
    driver.performActions();
    driver.advance(400);
    driver.replyNext();
    cr_assert(!driver.lastReply(1)->error);
    cr_assert(driver.statementTargets.size() == 1);
}

Test(connectionsetup, aSilentSetupIsGivenUpAndTheWriteIsSentOnAnotherConnection)
{
    auto driver = sessionsWithValues(1);
    driver.submit(1, StatementKind::Write);
    const auto silent = oldestConnection(driver);
    driver.requests.clear();
    driver.advance(600);
    cr_assert(oldestConnection(driver) != silent);
    driver.replyNext();
    cr_assert(!driver.lastReply(1)->error);
    cr_assert(driver.statementTargets.size() == 1);
    driver.advance(1000);
    cr_assert(isClosed(driver, silent));
}

Test(connectionsetup, noStatementIsSentToAPrimaryThatIsReplacedDuringTheSetup)
{
    auto driver = sessionsWithValues(1);
    driver.submit(1, StatementKind::Write);
    driver.setGroupPrimary("p", 1, true);
    cr_assert(driver.engine.durableInFlight(groupUnderTest) == 0);
    driver.engine.fence(groupUnderTest, driver.now);
    driver.replyToOldest();
    cr_assert(driver.statementTargets.empty());
    driver.setGroupPrimary("r1", 2);
    driver.performActions();
    driver.replyNext();
    cr_assert(driver.statementTargets == std::vector<std::string>{"r1"});
    cr_assert(!driver.lastReply(1)->error, "the new primary acknowledged it");
}
