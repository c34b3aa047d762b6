// What this proxy may believe of the groups' primaries, and until when.
#pragma once

#include "leadership/record.h"
#include "relay/cachedprimary.h"

#include <map>
#include <vector>

namespace cardamomstep::leadership {

/// The records as this proxy knows them, with the lease of its view.
///
/// A view is renewed by the lease holder's word or by a linearizable read of the store; either is good for `viewLease` from the moment
/// it was asked for. A record never goes back to an older revision.
class ViewBook
{
public:
    /// Takes in one record; false when a newer one is known.
    bool accept(const GroupRecord &record);

    /// Takes in that all \a records were current at some moment after \a askedAt; records that are older than known are left out.
    void renew(const std::vector<GroupRecord> &records, TimePoint askedAt);

    [[nodiscard]] const GroupRecord *find(const GroupName &group) const;

    [[nodiscard]] relay::PrimaryBelief belief(const GroupName &group) const;

    /// The latest end of any group's view.
    [[nodiscard]] TimePoint validUntil() const noexcept
    {
        return newest_;
    }

    [[nodiscard]] std::vector<GroupRecord> all() const;

    /// The records that were current at asOf().
    [[nodiscard]] std::vector<GroupRecord> current() const;

    /// The moment after which the newest view was asked for.
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
    TimePoint newest_;
    TimePoint asOf_;
};

} // namespace cardamomstep::leadership
