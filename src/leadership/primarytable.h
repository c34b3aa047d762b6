// This proxy's table of the groups' primaries, and the time until which it may rely on them.
#pragma once

#include "leadership/record.h"
#include "relay/cachedprimary.h"

#include <map>
#include <vector>

namespace cardamomstep::leadership {

/// The records of all groups that this proxy knows, each with a lease.
///
/// The table is renewed by a reply that derives from the lease holder, or by a linearizable read of the store; either is valid for
/// `primaryTableLease` from the time of the request. A record never returns to an older revision.
/// Records that are not confirmed in the store's epoch at their revision are ignored.
class PrimaryTable
{
public:
    /// Applies one record without renewing its lease; returns false when a newer one is known or the record is not confirmed.
    bool accept(const GroupRecord &record);

    /// Renews \a records, all of which were current at some time after \a requestedAt; records older than the known ones are ignored.
    void renew(const std::vector<GroupRecord> &records, TimePoint requestedAt);

    [[nodiscard]] const GroupRecord *find(const GroupName &group) const;

    [[nodiscard]] relay::CachedPrimary primaryOf(const GroupName &group) const;

    /// The latest end of any record's lease.
    [[nodiscard]] TimePoint validUntil() const noexcept
    {
        return validUntil_;
    }

    [[nodiscard]] std::vector<GroupRecord> all() const;

    /// The records that were current at asOf().
    [[nodiscard]] std::vector<GroupRecord> current() const;

    /// The time of the request for the newest renewal.
    [[nodiscard]] TimePoint asOf() const noexcept
    {
        return asOf_;
    }

private:
    struct Entry {
        GroupRecord record;
        TimePoint validUntil;
    };

    std::map<GroupName, Entry> entries_;
    TimePoint validUntil_;
    TimePoint asOf_;
};

} // namespace cardamomstep::leadership
