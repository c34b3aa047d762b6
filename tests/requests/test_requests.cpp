// Tests of retry budgets, fingerprints, windows over hops and the transaction registry.
#include "requests/deadline.h"
#include "requests/fingerprint.h"
#include "requests/retrybudget.h"
#include "requests/transactions.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <vector>

using namespace cardamomstep;

namespace {

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{Milliseconds{milliseconds}};
}

Statement sampleStatement()
{
    Statement statement;
    statement.service = ServiceName{"ledger"};
    statement.operation = "append";
    statement.key = "trade-7";
    statement.arguments = R"({"item":1})";
    return statement;
}

OpenTransaction transactionOn(ConnectionKey connection)
{
    OpenTransaction transaction;
    transaction.group = GroupName{"ledger-1"};
    transaction.connection = connection;
    return transaction;
}

} // namespace

Test(requests, retriesAreLimitedToAFractionOfSuccesses)
{
    RetryBudget budget{{0.1, 3}};
    int retries = 0;
    for (int round = 0; round < 1000; ++round) {
        retries += budget.take() ? 1 : 0;
    }
    cr_assert(retries == 3, "without successes only the initial balance is spent");
    for (int round = 0; round < 1000; ++round) {
        budget.succeeded();
        retries += budget.take() ? 1 : 0;
    }
    cr_assert(retries <= 3 + 101);
    cr_assert(retries >= 3 + 95);
}

Test(requests, fingerprintsDistinguishBodies)
{
    const auto plain = fingerprintOf(sampleStatement());
    auto other = sampleStatement();
    other.window = Milliseconds{9};
    other.session = "another";
    other.idempotent = true;
    cr_assert(fingerprintOf(other) == plain, "window, session and idempotence are not part of the body");
    other = sampleStatement();
    other.key = "trade-7{";
    other.arguments = R"("item":1})";
    cr_assert(fingerprintOf(other) != plain, "text moved between fields changes the fingerprint");
    other = sampleStatement();
    other.verb = Verb::Commit;
    cr_assert(fingerprintOf(other) != plain);
    other = sampleStatement();
    other.transaction = TransactionId{"t1.p.0"};
    cr_assert(fingerprintOf(other) != plain);
}

Test(requests, windowsShrinkOverHops)
{
    HopMargin margin;
    for (int round = 0; round < 200; ++round) {
        margin.observe(Microseconds{7'000});
    }
    const auto window = windowOverHop(at(100), at(40), margin);
    cr_assert(window < Milliseconds{60} - Milliseconds{6});
    cr_assert(window > Milliseconds{40});
    cr_assert(windowOverHop(at(100), at(99), margin) == Milliseconds{0});
    cr_assert(deadlineOf(at(5), Milliseconds{10}) == at(15));
}

Test(requests, transactionIdsNameTheirOwner)
{
    TransactionRegistry registry{InstanceName{"proxy.3-norte"}, 1};
    const auto opened = registry.open(transactionOn(5), at(0));
    cr_assert(bool(opened));
    cr_assert(TransactionRegistry::ownerOf(opened->id) == InstanceName{"proxy.3-norte"});
    for (const auto *wrong : {"", "t1.", "t1.x", "t2.p.0123456789abcdef", "t1.p.0123", "t1..0123456789abcdef"}) {
        cr_assert(!TransactionRegistry::ownerOf(TransactionId{wrong}), "accepted %s", wrong);
    }
}

Test(requests, aConnectionBelongsToOneTransactionAndRunsOneStatement)
{
    TransactionRegistry registry{InstanceName{"p"}, 1};
    const auto first = registry.open(transactionOn(5), at(0));
    const auto second = registry.open(transactionOn(5), at(0));
    cr_assert(!second && second.error().kind == ErrorKind::Internal);
    cr_assert(bool(registry.beginStatement(first->id, at(1))));
    const auto concurrent = registry.beginStatement(first->id, at(1));
    cr_assert(!concurrent && concurrent.error().kind == ErrorKind::Overloaded && concurrent.error().ran == Ran::No);
    registry.endStatement(first->id, at(2));
    cr_assert(registry.beginStatement(first->id, at(3))->connection == 5);
    registry.close(first->id);
    cr_assert(bool(registry.open(transactionOn(5), at(4))));
}

Test(requests, aLostConnectionAbortsItsTransaction)
{
    TransactionRegistry registry{InstanceName{"p"}, 1};
    const auto opened = registry.open(transactionOn(5), at(0));
    cr_assert(!registry.connectionLost(6));
    cr_assert(registry.connectionLost(5) == opened->id);
    const auto later = registry.beginStatement(opened->id, at(1));
    cr_assert(!later && later.error().kind == ErrorKind::TransactionAborted);
    const auto foreign = registry.beginStatement(TransactionId{"t1.p.ffffffffffffffff"}, at(1));
    cr_assert(!foreign && foreign.error().kind == ErrorKind::TransactionUnknown);
}

Test(requests, idleAndOldTransactionsAreClosedButNotWhileAStatementRuns)
{
    TransactionLimits limits;
    limits.idleTimeout = Milliseconds{100};
    limits.maxDuration = Milliseconds{250};
    TransactionRegistry registry{InstanceName{"p"}, 1, limits};
    const auto idle = registry.open(transactionOn(1), at(0));
    const auto busy = registry.open(transactionOn(2), at(0));
    cr_assert(bool(registry.beginStatement(busy->id, at(90))));
    cr_assert(registry.nextWake() == at(100));
    const auto expired = registry.wake(at(100));
    cr_assert(expired.size() == 1 && expired[0] == (CloseTransaction{idle->id, 1}));
    cr_assert(registry.wake(at(400)).empty(), "a running statement is not interrupted");
    registry.endStatement(busy->id, at(400));
    cr_assert(registry.wake(at(400)).size() == 1);
    cr_assert(registry.size() == 0 && !registry.nextWake());
}

Test(requests, anIdleTransactionIsEvictedOnDemandOnly)
{
    TransactionLimits limits;
    limits.idleTimeoutUnderDemand = Milliseconds{100};
    TransactionRegistry registry{InstanceName{"p"}, 1, limits};
    auto pinned = transactionOn(1);
    pinned.group = GroupName{"g"};
    const auto older = registry.open(pinned, at(0));
    pinned.connection = 2;
    const auto newer = registry.open(pinned, at(10));
    cr_assert(!registry.evictIdle(GroupName{"g"}, at(99)), "not idle for long enough");
    cr_assert(!registry.evictIdle(GroupName{"other"}, at(500)), "the group has no transaction");
    cr_assert(registry.evictIdle(GroupName{"g"}, at(500)) == (CloseTransaction{older->id, 1}), "the longest idle one first");
    cr_assert(bool(registry.beginStatement(newer->id, at(500))));
    cr_assert(!registry.evictIdle(GroupName{"g"}, at(900)), "a running statement is not interrupted");
    const auto later = registry.beginStatement(older->id, at(900));
    cr_assert(!later && later.error().kind == ErrorKind::TransactionAborted);
}

Test(requests, theNumberOfTransactionsIsBounded)
{
    TransactionLimits limits;
    limits.maxOpen = 2;
    limits.maxRememberedAborts = 1;
    TransactionRegistry registry{InstanceName{"p"}, 1, limits};
    const auto first = registry.open(transactionOn(1), at(0));
    (void)registry.open(transactionOn(2), at(0));
    cr_assert(!registry.hasCapacity());
    const auto third = registry.open(transactionOn(3), at(0));
    cr_assert(!third && third.error().kind == ErrorKind::Overloaded && third.error().retryAfter);
    (void)registry.connectionLost(1);
    (void)registry.connectionLost(2);
    cr_assert(registry.beginStatement(first->id, at(1)).error().kind == ErrorKind::TransactionUnknown,
              "only the newest aborted transactions are remembered");
}

// Under random operations, a statement runs only on the connection on which its transaction began, and one at a time.
Test(requests, statementsRunOneAtATimeOnTheConnectionOfTheirTransaction)
{
    const bool holds = rc::check("no mixing", []() {
        TransactionRegistry registry{InstanceName{"p"}, 3};
        std::map<TransactionId, ConnectionKey> opened;
        std::vector<TransactionId> ids;
        std::set<ConnectionKey> busy;
        std::int64_t now = 0;
        for (int step = 0; step < 100; ++step) {
            now += *rc::gen::inRange(0, 2'000);
            const auto key = *rc::gen::inRange<ConnectionKey>(0, 6);
            const auto event = *rc::gen::inRange(0, 6);
            if (event == 0) {
                const auto result = registry.open(transactionOn(key), at(now));
                if (result) {
                    RC_ASSERT(opened.emplace(result->id, key).second);
                    ids.push_back(result->id);
                    busy.erase(key);
                }
            } else if (event == 1) {
                (void)registry.connectionLost(key);
                busy.erase(key);
            } else if (event == 2) {
                for (const auto &closed : registry.wake(at(now))) {
                    RC_ASSERT(busy.count(closed.connection) == 0U);
                }
            } else if (!ids.empty()) {
                const auto id = ids[*rc::gen::inRange<std::size_t>(0, ids.size())];
                if (event == 3) {
                    registry.endStatement(id, at(now));
                    busy.erase(opened[id]);
                    continue;
                }
                const auto statement = registry.beginStatement(id, at(now));
                if (statement) {
                    RC_ASSERT(statement->connection == opened[id]);
                    RC_ASSERT(busy.insert(opened[id]).second);
                }
            }
        }
    });
    cr_assert(holds);
}
