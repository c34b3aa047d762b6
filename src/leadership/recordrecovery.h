// Brings the groups' records into a new epoch of the store: decides what the lease holder writes again.
#pragma once

#include "leadership/primarytable.h"
#include "leadership/record.h"
#include "store/object.h"

#include <map>
#include <set>
#include <vector>

namespace cardamomstep::leadership {

/// Settings of a RecordRecovery.
struct RecordRecoveryLimits {
    /// Delay before a write that failed is repeated; the records are listed again meanwhile.
    Milliseconds retryDelay{300};
};

/// The records that the lease holder must write again because the store came back from an older copy.
///
/// A holder whose lease lasted over the change of the epoch knows the newest records and writes them as they are. Another holder does
/// not: it writes a record as a change in progress, so that no proxy relies on it until a primary change has found out which member leads.
/// Does no I/O and reads no clock. Used by the lease holder only; reset() when the lease is acquired or lost.
class RecordRecovery
{
public:
    explicit RecordRecovery(const RecordRecoveryLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Forgets everything but \a epoch, the store's present one.
    void reset(StoreEpoch epoch);

    /// Handles a new epoch; \a remembered are the groups whose entries in the primary table are known to be the newest records.
    void onStoreEpoch(StoreEpoch epoch, const std::vector<GroupName> &remembered);

    /// Applies a record as stored, confirmed or not.
    void onStored(const GroupRecord &stored);

    /// Applies the complete list of stored records, as of the present epoch; groups of \a table that it lacks are to be created.
    void onListing(const std::vector<GroupRecord> &stored, const PrimaryTable &table);

    /// Returns the records to write, each if the stored one is still at its revision (0: absent). Report each by written() or failed().
    [[nodiscard]] std::vector<GroupRecord> next(const PrimaryTable &table, TimePoint now);

    void written(const GroupName &group);
    void failed(const GroupName &group, TimePoint now);

    /// True when the lease holder may rely on \a record of its primary table.
    [[nodiscard]] bool trusted(const GroupRecord &record) const;

    /// The records of \a table on which the lease holder may rely.
    [[nodiscard]] std::vector<GroupRecord> trustedRecords(const PrimaryTable &table) const;

    /// True when the stored record is in the present epoch, so that a primary change can be based on it.
    [[nodiscard]] bool current(const GroupRecord &record) const;

    /// True when it is unknown which member of the group leads, because the store may have lost the newest record.
    [[nodiscard]] bool unverified(const GroupName &group) const
    {
        return unverified_.contains(group);
    }

    /// Records that the store has no record of \a group, but may have lost one.
    void setUnverified(const GroupName &group)
    {
        unverified_.insert(group);
    }

    /// Records that a primary change has ended, which verified the record of the group.
    void onChangeEnded(const GroupName &group)
    {
        unverified_.erase(group);
    }

private:
    /// A stored record that is not confirmed.
    struct Unconfirmed {
        GroupRecord stored;
        bool writePending = false;
        TimePoint retryAt;
    };

    [[nodiscard]] GroupRecord replacementOf(const GroupRecord &stored, const PrimaryTable &table);

    RecordRecoveryLimits limits_;
    StoreEpoch epoch_;
    std::map<GroupName, Unconfirmed> unconfirmed_;
    std::set<GroupName> remembered_;
    std::set<GroupName> unverified_;
};

/// Returns the lowest generation that exceeds those of all earlier epochs, also of records that the store lost.
[[nodiscard]] std::uint64_t firstGenerationOf(StoreEpoch epoch) noexcept;

} // namespace cardamomstep::leadership
