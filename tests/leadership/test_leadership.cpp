// Tests of the fleet's lease, the primary table, the renewal tree and the detection of failed primaries and proxies.
#include "leadership/fleetlease.h"
#include "leadership/primaryfailuredetector.h"
#include "leadership/primarytable.h"
#include "leadership/proxyliveness.h"
#include "leadership/recordjson.h"
#include "leadership/renewaltree.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace cardamomstep;
using namespace cardamomstep::leadership;

namespace {

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{Milliseconds{1'000'000 + milliseconds}};
}

GroupRecord record(const std::string &primary, std::uint64_t generation, std::uint64_t revision, bool changeInProgress = false)
{
    return {GroupName{"g"}, MemberName{primary}, generation, changeInProgress, Revision{revision}};
}

/// Makes \a lease take a free lease at revision 17, from 300 to 304 ms.
void acquire(FleetLease &lease)
{
    const auto write = lease.next(at(300));
    cr_assert(write.has_value());
    cr_assert(lease.written(write->id, Revision{17}, at(300), at(304)) == LeaseWriteResult::Acquired);
}

std::vector<ProxyLocation> locationsOf(const std::vector<InstanceName> &names)
{
    std::vector<ProxyLocation> locations;
    for (const auto &name : names) {
        locations.push_back({name, FailureDomain{"d"}, Region{}});
    }
    return locations;
}

} // namespace

Test(leadership, aFreeLeaseIsTakenOnceItWasReadAsFree)
{
    FleetLease lease(InstanceName{"one"}, 1);
    cr_assert(!lease.next(at(0)));
    lease.onStoredLease(std::nullopt, {}, at(0));
    const auto write = lease.next(at(300));
    cr_assert(write.has_value());
    cr_assert(write->expected.value == 0 && write->fencingToken == 0);
    cr_assert(lease.written(write->id, Revision{17}, at(300), at(304)) == LeaseWriteResult::Acquired);
    cr_assert(lease.holds(at(304)));
    cr_assert(lease.fencingToken() == 17);
}

Test(leadership, aHeldLeaseIsNotTakenUntilItWasNotRenewedForItsDuration)
{
    FleetLease lease(InstanceName{"one"}, 1);
    lease.onStoredLease(LeaseState{InstanceName{"two"}, 5, 0, Revision{8}}, {}, at(0));
    cr_assert(!lease.next(at(6900)));
    lease.onStoredLease(LeaseState{InstanceName{"two"}, 5, 0, Revision{9}}, {}, at(6950));
    cr_assert(!lease.next(at(7500)), "a renewal restarts the wait");
    cr_assert(lease.next(at(6950 + 7300)).has_value());
}

// Seen in the fault soak with 62 proxies: each repeatedly tried to take the lease seven seconds after it had first read it, although all
// received reports of its renewals.
Test(leadership, aLeaseWithReportedRenewalsIsNotContested)
{
    FleetLease lease(InstanceName{"one"}, 1);
    const InstanceName holder{"two"};
    lease.onStoredLease(LeaseState{holder, 5, 1, Revision{8}}, {}, at(0));
    for (std::uint64_t renewal = 1; renewal <= 20; ++renewal) {
        const auto time = static_cast<std::int64_t>(renewal) * 1500;
        lease.onLeaseReport({holder, 5, renewal, Milliseconds{7000}}, at(time));
        cr_assert(!lease.next(at(time + 1400)), "renewal %d", static_cast<int>(renewal));
    }
    cr_assert(lease.next(at(20 * 1500 + 7000 + 900)).has_value(), "the holder no longer renews it");
}

Test(leadership, aRepeatedReportDoesNotExtendTheLease)
{
    FleetLease lease(InstanceName{"one"}, 1);
    const InstanceName holder{"two"};
    lease.onStoredLease(LeaseState{holder, 5, 1, Revision{8}}, {}, at(0));
    lease.onLeaseReport({holder, 5, 1, Milliseconds{7000}}, at(0));
    lease.onLeaseReport({holder, 5, 1, Milliseconds{7000}}, at(6000));
    cr_assert(lease.next(at(7000 + 900)).has_value());
}

Test(leadership, theHoldersOwnLeaseEndsBeforeOthersMayTakeIt)
{
    FleetLease holder(InstanceName{"one"}, 1);
    holder.onStoredLease(std::nullopt, {}, at(0));
    const auto write = holder.next(at(300));
    (void)holder.written(write->id, Revision{17}, at(300), at(900));
    FleetLease other(InstanceName{"two"}, 2);
    other.onStoredLease(LeaseState{InstanceName{"one"}, 17, 0, Revision{17}}, {}, at(310));
    for (std::int64_t time = 0; time < 9000; time += 10) {
        cr_assert(!(holder.holds(at(time)) && other.next(at(time)).has_value()), "held by one and free for the other at %ld ms", time);
    }
}

Test(leadership, aRestartedHolderTakesItsOwnLeaseAgainAtOnce)
{
    FleetLease lease(InstanceName{"one"}, 1);
    lease.onStoredLease(LeaseState{InstanceName{"one"}, 5, 0, Revision{8}}, {}, at(0));
    const auto write = lease.next(at(0));
    cr_assert(write.has_value());
    cr_assert((write->expected == Revision{8}) && write->fencingToken == 0, "a new holder process needs a new token");
}

// Seen on kpv-swapdesk scale-1: the store ignores a write that changes nothing, so other proxies saw no renewals, the lease was taken
// from a live holder, and reads at the old primary were stale.
Test(leadership, eachRenewalChangesTheStoredLease)
{
    FleetLease lease(InstanceName{"one"}, 1);
    lease.onStoredLease(std::nullopt, {}, at(0));
    const auto acquisition = lease.next(at(300));
    (void)lease.written(acquisition->id, Revision{17}, at(300), at(304));
    const auto first = lease.next(at(1900));
    cr_assert(acquisition && first);
    cr_assert(lease.written(first->id, Revision{18}, at(1900), at(1904)) == LeaseWriteResult::Renewed);
    const auto second = lease.next(at(3500));
    cr_assert(second.has_value());
    const InstanceName self{"one"};
    cr_assert(encodeLease(self, 17, first->renewals, {}) != encodeLease(self, 17, second->renewals, {}));
    cr_assert(encodeLease(self, 17, acquisition->renewals, {}) != encodeLease(self, 17, first->renewals, {}));
}

Test(leadership, aRelinquishedLeaseIsTakenByOthersAtOnceAndNotByItsHolder)
{
    FleetLease holder(InstanceName{"one"}, 1);
    holder.onStoredLease(std::nullopt, {}, at(0));
    acquire(holder);
    FleetLease other(InstanceName{"two"}, 2);
    other.onStoredLease(LeaseState{InstanceName{"one"}, 17, 1, Revision{17}}, {}, at(310));
    const auto token = holder.relinquish(at(2000));
    cr_assert(!holder.holds(at(2000)) && !holder.next(at(2500)));
    other.onRelinquished(token, at(2010));
    cr_assert(other.next(at(2300)).has_value());
    holder.onStoredLease(LeaseState{InstanceName{"two"}, 30, 1, Revision{30}}, {}, at(2400));
    holder.onStoredLease(LeaseState{InstanceName{}, 30, 2, Revision{31}}, {}, at(2500));
    cr_assert(holder.next(at(2800)).has_value(), "it may take the lease again after another proxy held it");
}

// Seen on convenio-cantabrico and labeli-cymru: the renewal's late reply counted as a fresh acquisition, and two proxies promoted.
Test(leadership, aLateReplyToARenewalDoesNotRestoreARelinquishedLease)
{
    FleetLease holder(InstanceName{"one"}, 1);
    holder.onStoredLease(std::nullopt, {}, at(0));
    acquire(holder);
    const auto renewal = holder.next(at(1900));
    cr_assert(renewal.has_value());
    (void)holder.relinquish(at(2000));
    cr_assert(holder.written(renewal->id, Revision{20}, at(1900), at(2400)) == LeaseWriteResult::Superseded);
    cr_assert(!holder.holds(at(2400)));
    cr_assert(!holder.next(at(2900)));
}

// Found by the lease search: write(0) relinquish(0) wait-400ms(0) reply(0) attempt(1).
Test(leadership, aReplyCountsForTheWriteThatItBelongsTo)
{
    FleetLease lease(InstanceName{"one"}, 1);
    lease.onStoredLease(std::nullopt, {}, at(0));
    acquire(lease);
    const auto lost = lease.next(at(1900));
    lease.writeFailed(lost->id, false, at(2800));
    const auto repeated = lease.next(at(3400));
    cr_assert(lease.written(lost->id, Revision{20}, at(1900), at(3401)) == LeaseWriteResult::Superseded);
    cr_assert(!lease.holds(at(1900 + 6800)), "the renewal that was given up does not extend the lease");
    cr_assert(lease.written(repeated->id, Revision{21}, at(3400), at(3404)) == LeaseWriteResult::Renewed);
}

Test(leadership, aConflictWithAnotherHolderEndsTheLease)
{
    FleetLease lease(InstanceName{"one"}, 1);
    lease.onStoredLease(std::nullopt, {}, at(0));
    acquire(lease);
    const auto renewal = lease.next(at(1900));
    cr_assert(renewal.has_value());
    lease.writeFailed(renewal->id, true, at(1904));
    cr_assert(!lease.next(at(2900)), "the stored lease must be read first");
    lease.onStoredLease(LeaseState{InstanceName{"two"}, 30, 1, Revision{30}}, {}, at(2910));
    cr_assert(!lease.holds(at(2910)));
}

Test(leadership, aRenewalWhoseReplyWasLostKeepsTheLease)
{
    FleetLease lease(InstanceName{"one"}, 1);
    lease.onStoredLease(std::nullopt, {}, at(0));
    acquire(lease);
    const auto lost = lease.next(at(1900));
    lease.writeFailed(lost->id, false, at(2900));
    const auto repeated = lease.next(at(3500));
    lease.writeFailed(repeated->id, true, at(3504));
    lease.onStoredLease(LeaseState{InstanceName{"one"}, 17, 2, Revision{21}}, {}, at(3510));
    cr_assert(lease.holds(at(3510)));
    const auto again = lease.next(at(4100));
    cr_assert((again && again->expected == Revision{21}) && again->fencingToken == 17);
}

Test(leadership, theWaitForAnExpiredLeaseCountsFromTheReport)
{
    FleetLease lease(InstanceName{"one"}, 1);
    lease.onLeaseReport({InstanceName{"two"}, 5, 9, Milliseconds{4000}}, at(0));
    lease.onStoredLease(LeaseState{InstanceName{"two"}, 5, 9, Revision{8}}, {}, at(3000));
    cr_assert(!lease.next(at(4200)));
    cr_assert(lease.next(at(4600)).has_value(), "not 7 s after the read");
}

// Found by the lease search: wait-7500ms(0) attempt(0) rise(0) attempt(1).
Test(leadership, aLeaseThatTheStoreLostIsNotTakenWhileItsHolderMayRelyOnIt)
{
    FleetLease other(InstanceName{"two"}, 2);
    other.onStoreEpoch({StoreEpoch{4}, true}, at(0));
    other.onStoredLease(LeaseState{InstanceName{"one"}, 5, 1, Revision{8, StoreEpoch{4}}, StoreEpoch{4}}, StoreEpoch{4}, at(0));
    other.onStoreEpoch({StoreEpoch{5}, false}, at(9000));
    const LeaseState older{InstanceName{"one"}, 5, 0, Revision{7, StoreEpoch{5}}, StoreEpoch{4}};
    other.onStoredLease(older, StoreEpoch{5}, at(9010));
    for (std::int64_t time = 9010; time < 16'000; time += 100) {
        cr_assert(!other.next(at(time)), "at %ld ms", time);
    }
    const auto write = other.next(at(16'300));
    cr_assert(write && (write->expected == Revision{7, StoreEpoch{5}}) && write->epoch == StoreEpoch{5});
    cr_assert(other.written(write->id, Revision{8, StoreEpoch{5}}, at(16'300), at(16'304)) == LeaseWriteResult::Acquired);
    cr_assert(other.fencingToken() > fencingTokenOf(Revision{1'000'000, StoreEpoch{4}}), "above every token of the lost writes");
    cr_assert(other.fencingToken() < (std::uint64_t{1} << 53U));
}

Test(leadership, theHolderWritesItsLeaseAgainInANewEpochAndKeepsItsToken)
{
    FleetLease holder(InstanceName{"one"}, 1);
    holder.onStoredLease(std::nullopt, {}, at(0));
    acquire(holder);
    holder.onStoreEpoch({StoreEpoch{1}, false}, at(1000));
    cr_assert(holder.holds(at(1000)) && holder.needsRead());
    holder.onStoredLease(std::nullopt, StoreEpoch{1}, at(1010));
    cr_assert(holder.holds(at(1010)), "the store lost the lease, but no other proxy may take it yet");
    const auto write = holder.next(at(1010));
    cr_assert(write && write->expected.value == 0 && write->fencingToken == 17 && write->epoch == StoreEpoch{1});
    cr_assert(holder.written(write->id, Revision{12, StoreEpoch{1}}, at(1010), at(1014)) == LeaseWriteResult::Renewed);
    cr_assert(!holder.next(at(1500)), "it is confirmed and needs no renewal yet");
}

Test(leadership, aRestartedProcessDoesNotTrustAnUnconfirmedLeaseOfItsOwn)
{
    FleetLease lease(InstanceName{"one"}, 1);
    lease.onStoreEpoch({StoreEpoch{5}, true}, at(0));
    lease.onStoredLease(LeaseState{InstanceName{"one"}, 5, 1, Revision{8, StoreEpoch{5}}, StoreEpoch{4}}, StoreEpoch{5}, at(10));
    cr_assert(!lease.next(at(6900)), "the lease may have passed to another proxy in a write that the store lost");
    cr_assert(lease.next(at(7300)).has_value());
    FleetLease absent(InstanceName{"two"}, 2);
    absent.onStoreEpoch({StoreEpoch{5}, true}, at(0));
    absent.onStoredLease(std::nullopt, StoreEpoch{5}, at(10));
    cr_assert(!absent.next(at(6900)));
    FleetLease first(InstanceName{"three"}, 3, true);
    first.onStoreEpoch({StoreEpoch{5}, true}, at(0));
    first.onStoredLease(std::nullopt, StoreEpoch{5}, at(10));
    cr_assert(first.next(at(300)).has_value(), "a new fleet has no earlier holder");
}

Test(leadership, aWriteThatIsRepliedToInAnotherEpochDoesNotCount)
{
    FleetLease lease(InstanceName{"one"}, 1);
    lease.onStoredLease(std::nullopt, {}, at(0));
    const auto write = lease.next(at(300));
    lease.onStoreEpoch({StoreEpoch{1}, false}, at(301));
    cr_assert(lease.written(write->id, Revision{9, StoreEpoch{1}}, at(300), at(304)) == LeaseWriteResult::Superseded);
    cr_assert(!lease.holds(at(304)));
}

Test(leadership, aLargeFleetRenewsThroughIntermediates)
{
    std::vector<InstanceName> names;
    for (int index = 0; index < 300; ++index) {
        names.emplace_back("proxy-" + std::to_string(index));
    }
    RenewalTree tree;
    tree.setProxies(locationsOf(names));
    std::map<InstanceName, int> served;
    for (const auto &name : names) {
        ++served[tree.source(name, InstanceName{"proxy-0"}, 0)];
    }
    for (const auto &[name, count] : served) {
        cr_assert(count <= 40, "%s serves %d", name.text().c_str(), count);
    }
    RenewalTree small;
    small.setProxies(locationsOf({InstanceName{"a"}, InstanceName{"b"}, InstanceName{"c"}}));
    cr_assert(small.source(InstanceName{"a"}, InstanceName{"b"}, 0) == InstanceName{"b"});
    cr_assert(small.source(InstanceName{"a"}, InstanceName{}, 0) != InstanceName{"a"});
}

Test(leadership, aTableEntryExpiresAndNeverReturnsToAnOlderRevision)
{
    PrimaryTable table;
    table.renew({record("p", 1, 10)}, at(0));
    cr_assert(table.primaryOf(GroupName{"g"}).usable(at(699)));
    cr_assert(!table.primaryOf(GroupName{"g"}).usable(at(700)));
    cr_assert(table.accept(record("p", 1, 12, true)));
    cr_assert(!table.primaryOf(GroupName{"g"}).usable(at(5)));
    table.renew({record("p", 1, 10)}, at(20));
    cr_assert(!table.primaryOf(GroupName{"g"}).usable(at(25)), "a listing from before the change must not undo it");
    table.renew({record("r", 2, 14)}, at(30));
    cr_assert(table.primaryOf(GroupName{"g"}).usable(at(35)));
    cr_assert(table.primaryOf(GroupName{"g"}).member.text() == "r");
}

Test(leadership, aPrimaryThatRepliesToAnyProxyIsNotSilent)
{
    PrimaryFailureDetector detector;
    detector.restart(1, at(0));
    detector.onRegistered();
    PrimaryObservation observation;
    observation.generation = 1;
    observation.sinceLastReply = Milliseconds{50};
    for (std::int64_t time = 0; time <= 2000; time += 250) {
        detector.recordObservation(InstanceName{"other"}, observation, at(time));
        cr_assert(!detector.evaluate(at(time)));
    }
    cr_assert(detector.evaluate(at(2000 + 500)) == PrimaryChangeReason::Silent);
}

// Seen on convenio-cantabrico-grown trouble-3: after a store outage and a restart of all proxies, four live primaries were replaced before
// they had registered again.
Test(leadership, anUnregisteredPrimaryGetsALongerTimeout)
{
    PrimaryFailureDetector detector;
    detector.restart(1, at(0));
    cr_assert(!detector.evaluate(at(1700)), "its address is not known yet");
    cr_assert(detector.evaluate(at(2500)) == PrimaryChangeReason::Silent, "the wait is limited");
    detector.onRegistered();
    cr_assert(detector.evaluate(at(1700)) == PrimaryChangeReason::Silent);
}

Test(leadership, aPrimaryThatReportsThatItDoesNotLeadIsReplaced)
{
    PrimaryFailureDetector detector;
    detector.restart(1, at(0));
    detector.onProbeReply(false, at(200));
    cr_assert(!detector.evaluate(at(300)));
    detector.onProbeReply(false, at(650));
    cr_assert(detector.evaluate(at(650)) == PrimaryChangeReason::NotLeading);
}

// Seen on convenio-cantabrico-grown trouble-1: a proxy that took the lease 20 s after its start removed all others from the store.
Test(leadership, aNewLeaseHolderRestartsEachProxysTimeout)
{
    ProxyLiveness liveness;
    const InstanceName other{"other"};
    liveness.onRegistered(other, at(0));
    liveness.onRegistered(other, at(25'000));
    cr_assert(liveness.isExpired(other, at(25'000)), "a proxy without the lease gets no reports of contacts");
    liveness.restart(at(25'000));
    cr_assert(!liveness.isExpired(other, at(44'000)));
    liveness.onContact(other, at(44'000));
    cr_assert(!liveness.isExpired(other, at(60'000)));
    cr_assert(liveness.isExpired(other, at(64'000)));
}

Test(leadership, fleetObjectsDecodeAsEncoded)
{
    StoredObject object;
    object.kind = fleetKind();
    object.name = recordKey(GroupName{"g"}).name;
    object.version = Revision{12};
    object.value = encode(record("p", 3, 0, true));
    const auto read = decodeFleetObject(object);
    cr_assert(std::get<GroupRecord>(read) == record("p", 3, 12, true));
    object.name = leaseKey().name;
    object.value = encodeLease(InstanceName{"one"}, 0, 3, {});
    cr_assert(std::get<LeaseState>(decodeFleetObject(object)).fencingToken == 12);
    object.name = ObjectName{"of-a-later-release"};
    cr_assert(std::holds_alternative<std::monostate>(decodeFleetObject(object)));
}

Test(leadership, fewProxiesWatchTheCatalogForAll)
{
    std::vector<InstanceName> names;
    for (int index = 0; index < 60; ++index) {
        names.emplace_back("proxy-" + std::to_string(index));
    }
    RenewalTree tree;
    tree.setProxies(locationsOf(names));
    const auto watchers = std::count_if(names.begin(), names.end(), [&tree](const auto &name) { return tree.watchesCatalog(name); });
    cr_assert(watchers == static_cast<std::ptrdiff_t>(RenewalTree::catalogWatchers));
    cr_assert(!tree.watchesCatalog(InstanceName{"unknown"}));
}
