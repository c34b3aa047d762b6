// Tests of a lease that another writer has overwritten.
#include "leadership/fleetlease.h"
#include "leadership/recordjson.h"

#include <criterion/criterion.h>

using namespace cardamomstep;
using namespace cardamomstep::leadership;

namespace {

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{Milliseconds{1'000'000 + milliseconds}};
}

} // namespace

// Another writer overwrote the lease: its holder gave it up, and all waited for a whole duration.
Test(overwrittenlease, aLeaseThatWasOverwrittenIsKeptByItsHolderAndWrittenAgain)
{
    FleetLease holder(InstanceName{"one"}, 1);
    FleetLease other(InstanceName{"two"}, 2);
    holder.onStoredLease(std::nullopt, {}, at(0));
    const auto taken = holder.next(at(300));
    cr_assert(taken && holder.written(taken->id, Revision{17}, at(300), at(304)) == LeaseWriteResult::Acquired);
    StoredObject overwritten{leaseKind(), leaseKey().name, Revision{20}, "[1", false};
    const auto read = std::get<LeaseState>(decodeFleetObject(overwritten));
    holder.onStoredLease(read, {}, at(400));
    other.onStoredLease(read, {}, at(400));
    cr_assert(holder.holds(at(401)));
    cr_assert(!other.next(at(7300)), "the unknown holder may be one that still relies on it");
    cr_assert(other.next(at(400 + 7300)).has_value());
    const auto write = holder.next(at(2000));
    cr_assert(write && write->expected == Revision{20} && write->fencingToken == 17);
    cr_assert(holder.written(write->id, Revision{21}, at(2000), at(2004)) == LeaseWriteResult::Renewed);
}
