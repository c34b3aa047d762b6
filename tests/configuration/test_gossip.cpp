// Tests of spreading the configuration in virtual time: today's fleet and the fleet of 3,500 proxies.
#include "fleetmodel.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace cardamomstep;
using test::FleetModel;

namespace {

constexpr Seconds inForceWithin{4};
constexpr test::FleetShape smallFleet{};
constexpr test::FleetShape largeFleet{3500, 10, 3};
/// 34,000 changes a day.
constexpr Milliseconds changeEvery{2541};

double secondsOf(Microseconds span)
{
    return std::chrono::duration<double>(span).count();
}

/// Lets every proxy learn \a objects objects and the others' signs of life.
void warmUp(FleetModel &fleet, int objects)
{
    for (int index = 0; index < objects; ++index) {
        fleet.acceptElsewhere("first-" + std::to_string(index));
    }
    fleet.run(Seconds{15});
    cr_assert(fleet.countIn(CurrencyState::Current) == fleet.size());
}

std::size_t mostStoreCalls(const FleetModel &fleet)
{
    std::size_t most = 0;
    for (const auto &[second, calls] : fleet.storeCallsBySecond) {
        most = std::max(most, calls);
    }
    return most;
}

} // namespace

Test(spread, changeIsInForceOnAllOfASmallFleet)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    const auto revision = fleet.accept(2, "ledger");
    fleet.run(Milliseconds{200});
    cr_assert(fleet.holders(revision, "ledger") == fleet.size());
    cr_assert(fleet.node(2).domainsHolding(revision) == 3);
}

Test(spread, changeByAnotherWriterComesByWatch)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    for (std::size_t cut = 1; cut < fleet.size(); ++cut) {
        fleet.cutFromStore(cut, true);
    }
    const auto revision = fleet.acceptElsewhere("ledger");
    fleet.run(Seconds{3});
    cr_assert(fleet.holders(revision, "ledger") == fleet.size());
}

Test(spread, proxyStartedInAnOutageFetchesFromPeersAndServes)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 20);
    fleet.storeDown = true;
    fleet.run(Seconds{20});
    fleet.restart(4);
    cr_assert(fleet.node(4).currency(fleet.now()) == CurrencyState::Starting);
    fleet.run(Seconds{12});
    cr_assert(fleet.node(4).state().size() == 20);
    cr_assert(fleet.node(4).currency(fleet.now()) == CurrencyState::StoreSilent);
    cr_assert(!fleet.node(4).mayAccept(fleet.now()));
}

Test(spread, proxyThatHearsNobodyStopsServingAndComesBack)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    fleet.cutAlone(3, true);
    const auto cutAt = fleet.now();
    const auto revision = fleet.accept(0, "ledger");
    while (fleet.node(3).currency(fleet.now()) != CurrencyState::Isolated) {
        fleet.run(Milliseconds{100});
        cr_assert(fleet.now() - cutAt <= CurrencyOptions{}.bound + Milliseconds{200});
    }
    cr_assert(fleet.holders(revision, "ledger") == fleet.size() - 1);
    fleet.cutAlone(3, false);
    fleet.run(inForceWithin);
    cr_assert(fleet.node(3).currency(fleet.now()) == CurrencyState::Current);
    cr_assert(fleet.holders(revision, "ledger") == fleet.size());
}

Test(spread, storeOutageRightAfterAcceptance)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    const auto revision = fleet.accept(5, "ledger");
    fleet.storeDown = true;
    fleet.run(inForceWithin);
    cr_assert(fleet.holders(revision, "ledger") == fleet.size());
    fleet.run(Seconds{60});
    cr_assert(fleet.countIn(CurrencyState::StoreSilent) == fleet.size());
    fleet.storeDown = false;
    fleet.run(Seconds{12});
    cr_assert(fleet.countIn(CurrencyState::Current) == fleet.size());
    cr_assert(fleet.reverted == 0);
}

Test(spread, goneAfterALongCutListsAndDeletesWhatIsGone)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    fleet.cutAlone(1, true);
    fleet.run(Seconds{30});
    fleet.accept(0, "first-0", true);
    fleet.accept(0, "ledger");
    fleet.store.compact();
    fleet.cutAlone(1, false);
    fleet.run(Seconds{10});
    cr_assert(fleet.node(1).state().digest().sameContent(fleet.node(0).state().digest()));
    cr_assert(fleet.node(1).state().find({ObjectKind{"group"}, ObjectName{"first-0"}}) == nullptr);
    cr_assert(fleet.reverted == 0);
}

Test(spread, revisionThatRisesWithoutNewObjectsIsTold)
{
    SpreadOptions options;
    options.self = FleetModel::nameOf(0);
    options.domain = FailureDomain{"a"};
    ConfigurationSpread spread{options};
    const auto live = std::make_shared<InstanceSet>(std::vector<LiveInstance>{{options.self, options.domain, Address{"10.0.0.1:1"}}});
    spread.setInstances(live, 1);
    const TimePoint now{Seconds{1}};
    (void)spread.onListing({Revision{5}, {}}, now, now);
    const StoredObject change{ObjectKind{"group"}, ObjectName{"g"}, Revision{6}, "{}", false};
    const auto accepted = spread.onAccepted(change, now);
    cr_assert(accepted.size() == 1);
    cr_assert(std::get<ObjectsChanged>(accepted[0]).complete == Revision{5});
    const auto watched = spread.onChanges({Revision{5}, Revision{6}, {change}, false}, now, now);
    cr_assert(watched.size() == 1);
    cr_assert(std::get<ObjectsChanged>(watched[0]).objects.empty());
    cr_assert(std::get<ObjectsChanged>(watched[0]).complete == Revision{6});
    cr_assert(spread.onChanges({Revision{6}, Revision{6}, {}, false}, now, now).empty());
}

namespace {

struct AcceptedChange {
    std::size_t by = 0;
    std::string name;
    Revision revision;
    /// When a majority of the failure domains was known to hold it.
    std::optional<TimePoint> heldByMajorityAt;
};

/// Turns one fault on or off.
void randomFault(FleetModel &fleet)
{
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        fleet.storeDown = !fleet.storeDown;
        break;
    case 1:
        fleet.cutFromStore(*rc::gen::inRange<std::size_t>(0, fleet.size()), *rc::gen::arbitrary<bool>());
        break;
    default:
        fleet.cutRegion(*rc::gen::inRange<std::size_t>(0, 3), *rc::gen::arbitrary<bool>());
        break;
    }
}

bool serves(CurrencyState state)
{
    return state == CurrencyState::Current || state == CurrencyState::StoreSilent;
}

/// Asserts that whoever serves has all changes that a majority of failure domains held a bound and a little ago.
void assertInForceWhereServed(FleetModel &fleet, std::vector<AcceptedChange> &changes)
{
    constexpr Seconds withinDomain{2};
    for (auto &change : changes) {
        if (!change.heldByMajorityAt && fleet.node(change.by).domainsHolding(change.revision) >= 2) {
            change.heldByMajorityAt = fleet.now();
        }
        if (!change.heldByMajorityAt || fleet.now() - *change.heldByMajorityAt < CurrencyOptions{}.bound + withinDomain) {
            continue;
        }
        const ObjectKey key{ObjectKind{"group"}, ObjectName{change.name}};
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            const auto *held = fleet.node(node).state().find(key);
            const bool has = held != nullptr && held->version >= change.revision;
            RC_ASSERT(has || !serves(fleet.node(node).currency(fleet.now())));
        }
    }
}

} // namespace

// Failure domains are cut off from each other and from the store, and the store goes down, in any order.
Test(spread, whoeverServesHasWhatAMajorityHeld)
{
    setenv("RC_PARAMS", "max_success=300", 0);
    const bool holds = rc::check("whoever serves has what a majority held", [] {
        auto shape = smallFleet;
        shape.regions = 3;
        shape.valueBytes = 1;
        shape.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        FleetModel fleet{shape};
        fleet.run(Seconds{15});
        std::vector<AcceptedChange> changes;
        const auto steps = *rc::gen::inRange(0, 40);
        for (int step = 0; step < steps; ++step) {
            const auto by = *rc::gen::inRange<std::size_t>(0, fleet.size());
            if (fleet.node(by).mayAccept(fleet.now()) && fleet.reachesStore(by)) {
                const auto name = "c" + std::to_string(step % 7);
                changes.push_back({by, name, fleet.accept(by, name), std::nullopt});
            }
            randomFault(fleet);
            const auto quarters = *rc::gen::inRange(1, 24);
            for (int quarter = 0; quarter < quarters; ++quarter) {
                fleet.run(Milliseconds{250});
                assertInForceWhereServed(fleet, changes);
            }
        }
        fleet.storeDown = false;
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.cutFromStore(node, false);
            fleet.cutRegion(node % 3, false);
        }
        fleet.run(Seconds{15});
        RC_ASSERT(fleet.countIn(CurrencyState::Current) == fleet.size());
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            RC_ASSERT(fleet.node(node).state().digest().sameContent(fleet.node(0).state().digest()));
            RC_ASSERT(fleet.node(node).divergences() == 0U);
        }
        RC_ASSERT(fleet.reverted == 0U);
    });
    cr_assert(holds);
}

// A process that was paused has requests in its buffers that it reads only now: they must not make its configuration look current.
Test(spread, pausedProxyIsNotCurrentBeforeItHasAskedAgain)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    auto &paused = fleet.node(3);
    const auto wokenAt = fleet.now() + Seconds{60};
    SpreadMessage old;
    old.from = FleetModel::nameOf(0);
    old.domain = fleet.domainOf(0);
    old.digest = paused.state().digest();
    old.confirmation = StoreConfirmation{old.digest.complete, Milliseconds{0}};
    old.heard = {{fleet.domainOf(0), Milliseconds{0}}, {fleet.domainOf(1), Milliseconds{0}}};
    (void)paused.onRequest(old, wokenAt);
    (void)paused.onChanges({old.digest.complete, old.digest.complete, {}, false}, fleet.now(), wokenAt);
    cr_assert(paused.currency(wokenAt) == CurrencyState::Isolated);
}

Test(spread, largeFleetWithCutWatchesWithinItsBudget)
{
    FleetModel fleet{largeFleet};
    warmUp(fleet, 20);
    // A third of the watchers, all of one failure domain among them, do not hear the store.
    std::size_t watchers = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (fleet.node(node).isWatcher()) {
            ++watchers;
            fleet.cutFromStore(node, node % 10 == 0 || watchers % 4 == 0);
        }
    }
    fleet.run(Seconds{10});
    fleet.resetCounts();
    constexpr int changes = 16;
    std::vector<Revision> revisions;
    for (int change = 0; change < changes; ++change) {
        const auto by = static_cast<std::size_t>(change) * 211 % fleet.size();
        revisions.push_back(fleet.accept(by, "changed-" + std::to_string(change)));
        fleet.run(changeEvery);
    }
    const auto span = secondsOf(changeEvery) * changes;
    const auto reads = mostStoreCalls(fleet);
    std::uint64_t total = 0;
    std::uint64_t most = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        total += fleet.bytesOf(node);
        most = std::max(most, fleet.bytesOf(node));
    }
    cr_log_warn("%zu watchers; store calls a second: at most %zu", watchers, reads);
    fleet.run(inForceWithin);
    double slowest = 0;
    for (int change = 0; change < changes; ++change) {
        const auto revision = revisions[static_cast<std::size_t>(change)];
        slowest = std::max(slowest, secondsOf(fleet.lastInForceAt[revision] - fleet.changedAt[revision]));
        cr_assert(fleet.holders(revision, "changed-" + std::to_string(change)) == fleet.size());
    }
    cr_log_warn("bytes a second in and out: mean %.0f, most loaded proxy %.0f; slowest change in force after %.2f s",
                static_cast<double>(total) / span / static_cast<double>(fleet.size()),
                static_cast<double>(most) / span,
                slowest);
    cr_assert(slowest <= secondsOf(inForceWithin));
    cr_assert(static_cast<double>(most) / span < 11'000);
    cr_assert(reads < 500);
    cr_assert(fleet.countIn(CurrencyState::Current) == fleet.size());
    cr_assert(fleet.reverted == 0);
}

Test(spread, regionCutForMinutesStopsAndCatchesUp)
{
    FleetModel fleet{largeFleet};
    warmUp(fleet, 5);
    fleet.cutRegion(0, true);
    std::size_t inRegion = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        inRegion += fleet.regionOf(node) == 0 ? 1 : 0;
    }
    const auto revision = fleet.accept(fleet.size() - 1, "changed");
    fleet.run(inForceWithin);
    cr_assert(fleet.holders(revision, "changed") == fleet.size() - inRegion);
    fleet.run(CurrencyOptions{}.bound - inForceWithin + Seconds{1});
    cr_assert(fleet.countIn(CurrencyState::Isolated) == inRegion);
    cr_assert(fleet.countIn(CurrencyState::Current) == fleet.size() - inRegion);
    fleet.run(Seconds{170});
    cr_assert(fleet.countIn(CurrencyState::Isolated) == inRegion);
    fleet.resetCounts();
    fleet.cutRegion(0, false);
    const auto healedAt = fleet.now();
    fleet.run(Seconds{10});
    cr_assert(fleet.holders(revision, "changed") == fleet.size());
    cr_assert(fleet.countIn(CurrencyState::Current) == fleet.size());
    cr_log_warn("caught up %.2f s after the cut was healed; store calls a second: at most %zu",
                secondsOf(fleet.lastInForceAt[revision] - healedAt),
                mostStoreCalls(fleet));
    cr_assert(mostStoreCalls(fleet) < 2000);
    cr_assert(fleet.reverted == 0);
}

Test(spread, storeOutageOfALargeFleetKeepsServingAndEndsWithoutAHerd)
{
    FleetModel fleet{largeFleet};
    warmUp(fleet, 5);
    const auto revision = fleet.accept(17, "changed");
    fleet.storeDown = true;
    fleet.run(inForceWithin);
    cr_assert(fleet.holders(revision, "changed") == fleet.size());
    fleet.run(Seconds{56});
    cr_assert(fleet.countIn(CurrencyState::StoreSilent) == fleet.size());
    const auto during = mostStoreCalls(fleet);
    fleet.resetCounts();
    fleet.storeDown = false;
    fleet.run(Seconds{15});
    cr_assert(fleet.countIn(CurrencyState::Current) == fleet.size());
    cr_log_warn("store calls a second: at most %zu in the outage, at most %zu after it", during, mostStoreCalls(fleet));
    cr_assert(during < 1000);
    cr_assert(mostStoreCalls(fleet) < 1000);
}
