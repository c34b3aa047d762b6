// Tests of configuration gossip in virtual time, in a fleet of 7 proxies and in one of 3,500.
#include "fleetmodel.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>

using namespace cardamomstep;
using test::FleetModel;

namespace {

constexpr Seconds inForceWithin{4};
constexpr test::FleetShape smallFleet{};
constexpr test::FleetShape largeFleet{3500, 10, 3};
/// 34,000 changes a day.
constexpr Milliseconds changeInterval{2541};

double secondsOf(Microseconds span)
{
    return std::chrono::duration<double>(span).count();
}

/// Runs until every proxy knows \a objects objects and has contact with the others.
void warmUp(FleetModel &fleet, int objects)
{
    for (int index = 0; index < objects; ++index) {
        fleet.writeElsewhere("first-" + std::to_string(index));
    }
    fleet.run(Seconds{15});
    cr_assert(fleet.countIn(ConfigurationFreshnessState::Current) == fleet.size());
}

std::size_t peakStoreCallsPerSecond(const FleetModel &fleet)
{
    std::size_t peak = 0;
    for (const auto &[second, calls] : fleet.storeCallsBySecond) {
        peak = std::max(peak, calls);
    }
    return peak;
}

} // namespace

Test(gossip, changeIsInForceOnAllOfASmallFleet)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    const auto revision = fleet.writeThrough(2, "ledger");
    fleet.run(Milliseconds{200});
    cr_assert(fleet.proxiesHolding(revision, "ledger") == fleet.size());
    cr_assert(fleet.node(2).domainsWithRevision(revision) == 3);
}

Test(gossip, changeByAnotherWriterArrivesByWatch)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    for (std::size_t cut = 1; cut < fleet.size(); ++cut) {
        fleet.cutFromStore(cut, true);
    }
    const auto revision = fleet.writeElsewhere("ledger");
    fleet.run(Seconds{3});
    cr_assert(fleet.proxiesHolding(revision, "ledger") == fleet.size());
}

Test(gossip, proxyStartedInAStoreOutageFetchesFromPeersAndServes)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 20);
    fleet.storeDown = true;
    fleet.run(Seconds{20});
    fleet.restart(4);
    cr_assert(fleet.node(4).configurationFreshness(fleet.now()) == ConfigurationFreshnessState::Starting);
    fleet.run(Seconds{12});
    cr_assert(fleet.node(4).state().size() == 20);
    cr_assert(fleet.node(4).configurationFreshness(fleet.now()) == ConfigurationFreshnessState::StoreSilent);
    cr_assert(!fleet.node(4).mayAcceptChanges(fleet.now()));
}

Test(gossip, isolatedProxyStopsServingAndRecovers)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    fleet.isolate(3, true);
    const auto cutAt = fleet.now();
    const auto revision = fleet.writeThrough(0, "ledger");
    while (fleet.node(3).configurationFreshness(fleet.now()) != ConfigurationFreshnessState::Isolated) {
        fleet.run(Milliseconds{100});
        cr_assert(fleet.now() - cutAt <= ConfigurationFreshnessOptions{}.maxAge + Milliseconds{200});
    }
    cr_assert(fleet.proxiesHolding(revision, "ledger") == fleet.size() - 1);
    fleet.isolate(3, false);
    fleet.run(inForceWithin);
    cr_assert(fleet.node(3).configurationFreshness(fleet.now()) == ConfigurationFreshnessState::Current);
    cr_assert(fleet.proxiesHolding(revision, "ledger") == fleet.size());
}

Test(gossip, changeIsInForceDespiteAStoreOutageRightAfterIt)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    const auto revision = fleet.writeThrough(5, "ledger");
    fleet.storeDown = true;
    fleet.run(inForceWithin);
    cr_assert(fleet.proxiesHolding(revision, "ledger") == fleet.size());
    fleet.run(Seconds{60});
    cr_assert(fleet.countIn(ConfigurationFreshnessState::StoreSilent) == fleet.size());
    fleet.storeDown = false;
    fleet.run(Seconds{12});
    cr_assert(fleet.countIn(ConfigurationFreshnessState::Current) == fleet.size());
    cr_assert(fleet.reverted == 0);
}

Test(gossip, proxyBehindCompactedHistoryListsAndDropsDeletedObjects)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    fleet.isolate(1, true);
    fleet.run(Seconds{30});
    fleet.writeThrough(0, "first-0", true);
    fleet.writeThrough(0, "ledger");
    fleet.store.compact();
    fleet.isolate(1, false);
    fleet.run(Seconds{10});
    cr_assert(fleet.node(1).state().digest().sameContent(fleet.node(0).state().digest()));
    cr_assert(fleet.node(1).state().find({ObjectKind{"group"}, ObjectName{"first-0"}}) == nullptr);
    cr_assert(fleet.reverted == 0);
}

Test(gossip, revisionThatRisesWithoutNewObjectsIsReported)
{
    GossipOptions options;
    options.self = FleetModel::nameOf(0);
    options.domain = FailureDomain{"a"};
    ConfigurationGossip gossip{options};
    const auto live = std::make_shared<InstanceSet>(std::vector<LiveInstance>{{options.self, options.domain, Address{"10.0.0.1:1"}}});
    gossip.setInstances(live, 1);
    const TimePoint now{Seconds{1}};
    (void)gossip.onListing({Revision{5}, {}}, now, now);
    const StoredObject change{ObjectKind{"group"}, ObjectName{"g"}, Revision{6}, "{}", false};
    const auto accepted = gossip.onAccepted(change, now);
    cr_assert(accepted.size() == 1);
    cr_assert(std::get<ObjectsChanged>(accepted[0]).complete == Revision{5});
    const auto watched = gossip.onChanges({Revision{5}, Revision{6}, {change}, false}, now, now);
    cr_assert(watched.size() == 1);
    cr_assert(std::get<ObjectsChanged>(watched[0]).objects.empty());
    cr_assert(std::get<ObjectsChanged>(watched[0]).complete == Revision{6});
    cr_assert(gossip.onChanges({Revision{6}, Revision{6}, {}, false}, now, now).empty());
}

namespace {

struct AcceptedChange {
    std::size_t by = 0;
    std::string name;
    Revision revision;
    /// Time from which on a majority of the failure domains is known to hold it.
    std::optional<TimePoint> majorityHoldsSince;
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

bool serves(ConfigurationFreshnessState state)
{
    return state == ConfigurationFreshnessState::Current || state == ConfigurationFreshnessState::StoreSilent;
}

/// Asserts that all serving proxies hold each change that a majority of the failure domains has held for at least `maxAge` plus
/// `withinDomain`, the time that a change may take to reach all proxies of a failure domain.
void assertServingProxiesHold(FleetModel &fleet, std::vector<AcceptedChange> &changes)
{
    constexpr Seconds withinDomain{2};
    for (auto &change : changes) {
        if (!change.majorityHoldsSince && fleet.node(change.by).domainsWithRevision(change.revision) >= 2) {
            change.majorityHoldsSince = fleet.now();
        }
        if (!change.majorityHoldsSince
            || fleet.now() - *change.majorityHoldsSince < ConfigurationFreshnessOptions{}.maxAge + withinDomain) {
            continue;
        }
        const ObjectKey key{ObjectKind{"group"}, ObjectName{change.name}};
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            const auto *known = fleet.node(node).state().find(key);
            const bool has = known != nullptr && known->version >= change.revision;
            RC_ASSERT(has || !serves(fleet.node(node).configurationFreshness(fleet.now())));
        }
    }
}

} // namespace

// Failure domains are cut off from each other and from the store, and the store becomes unavailable, in any order.
Test(gossip, servingProxiesHaveTheChangesHeldByAMajorityOfDomains)
{
    setenv("RC_PARAMS", "max_success=300", 0);
    const bool holds = rc::check("serving proxies have the changes held by a majority of domains", [] {
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
            if (fleet.node(by).mayAcceptChanges(fleet.now()) && fleet.reachesStore(by)) {
                const auto name = "c" + std::to_string(step % 7);
                changes.push_back({by, name, fleet.writeThrough(by, name), std::nullopt});
            }
            randomFault(fleet);
            const auto quarterSeconds = *rc::gen::inRange(1, 24);
            for (int quarter = 0; quarter < quarterSeconds; ++quarter) {
                fleet.run(Milliseconds{250});
                assertServingProxiesHold(fleet, changes);
            }
        }
        fleet.storeDown = false;
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.cutFromStore(node, false);
            fleet.cutRegion(node % 3, false);
        }
        fleet.run(Seconds{15});
        RC_ASSERT(fleet.countIn(ConfigurationFreshnessState::Current) == fleet.size());
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            RC_ASSERT(fleet.node(node).state().digest().sameContent(fleet.node(0).state().digest()));
            RC_ASSERT(fleet.node(node).divergences() == 0U);
        }
        RC_ASSERT(fleet.reverted == 0U);
    });
    cr_assert(holds);
}

// After a process pause, old requests and replies are read from the buffers: they must not make the configuration look current.
Test(gossip, pausedProxyIsNotCurrentBeforeItQueriesAgain)
{
    FleetModel fleet{smallFleet};
    warmUp(fleet, 3);
    auto &paused = fleet.node(3);
    const auto wokenAt = fleet.now() + Seconds{60};
    GossipMessage old;
    old.from = FleetModel::nameOf(0);
    old.domain = fleet.domainOf(0);
    old.digest = paused.state().digest();
    old.confirmation = StoreConfirmation{old.digest.complete, Milliseconds{0}};
    old.domainAges = {{fleet.domainOf(0), Milliseconds{0}}, {fleet.domainOf(1), Milliseconds{0}}};
    (void)paused.onRequest(old, wokenAt);
    (void)paused.onChanges({old.digest.complete, old.digest.complete, {}, false}, fleet.now(), wokenAt);
    cr_assert(paused.configurationFreshness(wokenAt) == ConfigurationFreshnessState::Isolated);
}

Test(gossip, largeFleetWithInterruptedWatchesStaysWithinItsBudget)
{
    FleetModel fleet{largeFleet};
    warmUp(fleet, 20);
    // About a third of the watchers, including all of one failure domain, cannot reach the store.
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
        revisions.push_back(fleet.writeThrough(by, "changed-" + std::to_string(change)));
        fleet.run(changeInterval);
    }
    const auto span = secondsOf(changeInterval) * changes;
    const auto peakCalls = peakStoreCallsPerSecond(fleet);
    std::uint64_t totalBytes = 0;
    std::uint64_t peakBytes = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        totalBytes += fleet.bytesOf(node);
        peakBytes = std::max(peakBytes, fleet.bytesOf(node));
    }
    std::printf("%zu watchers; store calls a second: at most %zu\n", watchers, peakCalls);
    fleet.run(inForceWithin);
    double slowest = 0;
    for (int change = 0; change < changes; ++change) {
        const auto revision = revisions[static_cast<std::size_t>(change)];
        slowest = std::max(slowest, secondsOf(fleet.lastInForceAt[revision] - fleet.changedAt[revision]));
        cr_assert(fleet.proxiesHolding(revision, "changed-" + std::to_string(change)) == fleet.size());
    }
    std::printf("bytes a second in and out: mean %.0f, most loaded proxy %.0f; slowest change in force after %.2f s\n",
                static_cast<double>(totalBytes) / span / static_cast<double>(fleet.size()),
                static_cast<double>(peakBytes) / span,
                slowest);
    cr_assert(slowest <= secondsOf(inForceWithin));
    cr_assert(static_cast<double>(peakBytes) / span < 11'000);
    cr_assert(peakCalls < 500);
    cr_assert(fleet.countIn(ConfigurationFreshnessState::Current) == fleet.size());
    cr_assert(fleet.reverted == 0);
}

Test(gossip, regionPartitionedForMinutesStopsServingAndRecovers)
{
    FleetModel fleet{largeFleet};
    warmUp(fleet, 5);
    fleet.cutRegion(0, true);
    std::size_t inRegion = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        inRegion += fleet.regionOf(node) == 0 ? 1 : 0;
    }
    const auto revision = fleet.writeThrough(fleet.size() - 1, "changed");
    fleet.run(inForceWithin);
    cr_assert(fleet.proxiesHolding(revision, "changed") == fleet.size() - inRegion);
    fleet.run(ConfigurationFreshnessOptions{}.maxAge - inForceWithin + Seconds{1});
    cr_assert(fleet.countIn(ConfigurationFreshnessState::Isolated) == inRegion);
    cr_assert(fleet.countIn(ConfigurationFreshnessState::Current) == fleet.size() - inRegion);
    fleet.run(Seconds{170});
    cr_assert(fleet.countIn(ConfigurationFreshnessState::Isolated) == inRegion);
    fleet.resetCounts();
    fleet.cutRegion(0, false);
    const auto healedAt = fleet.now();
    fleet.run(Seconds{10});
    cr_assert(fleet.proxiesHolding(revision, "changed") == fleet.size());
    cr_assert(fleet.countIn(ConfigurationFreshnessState::Current) == fleet.size());
    std::printf("caught up %.2f s after the partition healed; store calls a second: at most %zu\n",
                secondsOf(fleet.lastInForceAt[revision] - healedAt),
                peakStoreCallsPerSecond(fleet));
    cr_assert(peakStoreCallsPerSecond(fleet) < 2000);
    cr_assert(fleet.reverted == 0);
}

Test(gossip, largeFleetServesInAStoreOutageAndDoesNotOverloadTheStoreAfterIt)
{
    FleetModel fleet{largeFleet};
    warmUp(fleet, 5);
    const auto revision = fleet.writeThrough(17, "changed");
    fleet.storeDown = true;
    fleet.run(inForceWithin);
    cr_assert(fleet.proxiesHolding(revision, "changed") == fleet.size());
    fleet.run(Seconds{56});
    cr_assert(fleet.countIn(ConfigurationFreshnessState::StoreSilent) == fleet.size());
    const auto during = peakStoreCallsPerSecond(fleet);
    fleet.resetCounts();
    fleet.storeDown = false;
    fleet.run(Seconds{15});
    cr_assert(fleet.countIn(ConfigurationFreshnessState::Current) == fleet.size());
    std::printf("store calls a second: at most %zu in the outage, at most %zu after it\n", during, peakStoreCallsPerSecond(fleet));
    cr_assert(during < 1000);
    cr_assert(peakStoreCallsPerSecond(fleet) < 1000);
}
