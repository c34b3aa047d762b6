// Sends the records of all groups with each renewal without repeating those that the receiver has.
#pragma once

#include "leadership/record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cardamomstep::leadership {

/// Names a set of records that one process sent; `process` is drawn at random by each process, and 0 for none.
struct RecordSetId {
    std::uint64_t process = 0;
    std::uint64_t version = 0;

    [[nodiscard]] bool operator==(const RecordSetId &) const = default;
};

/// A set of records as its differences from an earlier one of the same process.
struct RecordDelta {
    RecordSetId id;
    /// Version of the earlier set; 0 if `changed` are all records.
    std::uint64_t base = 0;
    std::vector<GroupRecord> changed;
    std::vector<GroupName> removed;
};

/// Encodes the sets of one process. Keeps nothing about single receivers.
class RecordDeltaSender
{
public:
    /// \a process must differ from that of any other process, also of an earlier one of the same instance: two sets under one id would
    /// be taken for equal.
    explicit RecordDeltaSender(std::uint64_t process)
        : process_(process)
    {
    }

    [[nodiscard]] std::uint64_t process() const noexcept
    {
        return process_;
    }

    /// Returns \a records as differences from the set \a known, which the receiver has.
    [[nodiscard]] RecordDelta encode(const std::vector<GroupRecord> &records, const RecordSetId &known);

private:
    struct Entry {
        GroupRecord record;
        /// The version with which this state began.
        std::uint64_t since = 0;
        bool present = false;
    };

    void update(const std::vector<GroupRecord> &records);

    std::uint64_t process_;
    std::uint64_t version_ = 0;
    /// Invariant: contains every group that was ever in a set.
    std::map<GroupName, Entry> entries_;
};

/// Restores the sets that one process receives.
class RecordDeltaReceiver
{
public:
    /// The set that is known here; differences are sent from it.
    [[nodiscard]] const RecordSetId &known() const noexcept
    {
        return known_;
    }

    /// Returns exactly the records that were encoded; nothing if \a delta is based on another set, after which all records are sent.
    [[nodiscard]] std::optional<std::vector<GroupRecord>> decode(const RecordDelta &delta);

private:
    RecordSetId known_;
    std::map<GroupName, GroupRecord> records_;
};

} // namespace cardamomstep::leadership
