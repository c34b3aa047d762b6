// Tests of what a lease holder writes again after the store came back from an older copy, and of what proxies rely on meanwhile.
#include "leadership/grantepoch.h"
#include "leadership/recordjson.h"
#include "leadership/recordrecovery.h"

#include <criterion/criterion.h>

using namespace cardamomstep;
using namespace cardamomstep::leadership;

namespace {

constexpr StoreEpoch before{4};
constexpr StoreEpoch present{5};

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{Milliseconds{1'000'000 + milliseconds}};
}

GroupName group()
{
    return GroupName{"g"};
}

/// A record that was written in \a writtenIn and read in \a readIn.
GroupRecord record(const std::string &primary, std::uint64_t generation, std::uint64_t number, StoreEpoch writtenIn, StoreEpoch readIn)
{
    return {group(), MemberName{primary}, generation, false, Revision{number, readIn}, writtenIn};
}

} // namespace

Test(recordrecovery, proxiesIgnoreRecordsThatWereNotWrittenInThePresentEpoch)
{
    PrimaryTable table;
    table.renew({record("new", 7, 30, before, before)}, at(0));
    table.renew({record("old", 6, 20, before, present)}, at(10));
    cr_assert(table.primaryOf(group()).member.text() == "new", "the copy names an earlier primary");
    table.renew({record("newest", 8, 21, present, present)}, at(20));
    cr_assert(table.primaryOf(group()).member.text() == "newest", "a lower number of a later epoch is newer");
    cr_assert(!table.accept(record("new", 7, 31, before, before)));
}

Test(recordrecovery, aHolderOverTheRiseWritesItsRecordsAsTheyWere)
{
    PrimaryTable table;
    table.renew({record("new", 7, 30, before, before)}, at(0));
    RecordRecovery recovery;
    recovery.reset(before);
    cr_assert(recovery.next(table, at(0)).empty());
    recovery.onStoreEpoch(present, {group()});
    cr_assert(recovery.trustedRecords(table).size() == 1, "it keeps granting what it knows");
    cr_assert(!recovery.current(*table.find(group())), "no primary change is based on it yet");
    recovery.onListing({record("old", 6, 20, before, present)}, table);
    const auto writes = recovery.next(table, at(10));
    cr_assert(writes.size() == 1);
    cr_assert(writes.front().primary.text() == "new" && writes.front().generation == 7 && !writes.front().changeInProgress);
    cr_assert(((writes.front().revision == Revision{20, present})) && writes.front().writtenIn == present);
    cr_assert(recovery.next(table, at(20)).empty(), "one write at a time");
    recovery.written(group());
    cr_assert(table.accept(record("new", 7, 21, present, present)));
    cr_assert(recovery.current(*table.find(group())));
    cr_assert(recovery.next(table, at(5000)).empty());
}

Test(recordrecovery, aRecordThatTheCopyLacksIsCreated)
{
    PrimaryTable table;
    table.renew({record("p", 1, 30, before, before)}, at(0));
    RecordRecovery recovery;
    recovery.onStoreEpoch(present, {group()});
    recovery.onListing({}, table);
    const auto writes = recovery.next(table, at(10));
    cr_assert(writes.size() == 1 && writes.front().revision.value == 0 && writes.front().primary.text() == "p");
}

Test(recordrecovery, aWriteThatFailedIsRepeatedFromTheNextListing)
{
    PrimaryTable table;
    table.renew({record("p", 1, 30, before, before)}, at(0));
    RecordRecovery recovery;
    recovery.onStoreEpoch(present, {group()});
    recovery.onListing({record("p", 1, 20, before, present)}, table);
    cr_assert(recovery.next(table, at(0)).size() == 1);
    recovery.failed(group(), at(10));
    recovery.onListing({record("stray", 1, 22, before, present)}, table);
    cr_assert(recovery.next(table, at(100)).empty());
    const auto again = recovery.next(table, at(400));
    cr_assert((again.size() == 1 && (again.front().revision == Revision{22, present})) && again.front().primary.text() == "p");
}

// The generation of a promotion that the store lost may be in use by proxies.
Test(recordrecovery, anotherHolderRecordsAChangeThatFindsTheLeader)
{
    PrimaryTable table;
    table.renew({record("new", 7, 30, before, before)}, at(0));
    RecordRecovery recovery;
    recovery.reset(present);
    cr_assert(recovery.trustedRecords(table).empty(), "a promotion may have followed that this process did not see");
    recovery.onListing({record("old", 6, 20, before, present)}, table);
    const auto writes = recovery.next(table, at(10));
    cr_assert(writes.size() == 1 && writes.front().changeInProgress);
    cr_assert(writes.front().generation >= firstGenerationOf(present));
    cr_assert(firstGenerationOf(present) > firstGenerationOf(before) + 1'000'000);
    cr_assert(recovery.unverified(group()));
    recovery.onChangeEnded(group());
    cr_assert(!recovery.unverified(group()));
}

// A write that was delayed in the store from an earlier epoch met a revision with the same number.
Test(recordrecovery, aLateWriteOfAnEarlierEpochIsOverwritten)
{
    PrimaryTable table;
    RecordRecovery recovery;
    recovery.reset(present);
    table.renew({record("p", 9, 21, present, present)}, at(0));
    const auto stray = record("q", 8, 22, before, present);
    cr_assert(!table.accept(stray));
    recovery.onStored(stray);
    const auto writes = recovery.next(table, at(10));
    cr_assert(writes.size() == 1 && writes.front().primary.text() == "p" && writes.front().generation == 9);
    cr_assert(((writes.front().revision == Revision{22, present})) && !writes.front().changeInProgress);
}

Test(recordrecovery, aRememberedChangeInProgressGetsANewGeneration)
{
    PrimaryTable table;
    auto changing = record("p", 9, 30, before, before);
    changing.changeInProgress = true;
    cr_assert(table.accept(changing));
    RecordRecovery recovery;
    recovery.onStoreEpoch(present, {group()});
    recovery.onListing({record("p", 9, 20, before, present)}, table);
    const auto writes = recovery.next(table, at(10));
    cr_assert(writes.size() == 1 && writes.front().changeInProgress && writes.front().generation == 10);
}

Test(recordrecovery, storedRecordsCarryTheEpochInWhichTheyWereWritten)
{
    StoredObject object;
    object.kind = fleetKind();
    object.name = recordKey(group()).name;
    object.version = Revision{20, present};
    object.value = encode(record("p", 3, 0, before, before));
    cr_assert(!std::get<GroupRecord>(decodeFleetObject(object)).confirmed());
    object.value = encode(record("p", 3, 0, present, present));
    cr_assert(std::get<GroupRecord>(decodeFleetObject(object)).confirmed());
    object.name = leaseKey().name;
    object.value = encodeLease(InstanceName{"one"}, 0, 1, before);
    const auto lease = std::get<LeaseState>(decodeFleetObject(object));
    cr_assert(!lease.confirmed() && lease.fencingToken == fencingTokenOf(Revision{20, before}));
}

Test(grantepoch, primariesAreChangedOnlyOnceTablesOfTheEarlierEpochExpired)
{
    GrantEpoch epoch;
    epoch.onAcquired(before);
    cr_assert(epoch.at(at(0)) == before && epoch.earlierTablesExpired(at(0)));
    epoch.onStoreEpoch(present, at(1000));
    cr_assert(epoch.at(at(1100)) == before, "proxies need time to register again");
    cr_assert(!epoch.earlierTablesExpired(at(1100)));
    cr_assert(epoch.at(at(2500)) == present);
    cr_assert(!epoch.earlierTablesExpired(at(2500 + 699)));
    cr_assert(epoch.earlierTablesExpired(at(2500 + 700)));
}
