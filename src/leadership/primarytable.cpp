// Stores the newest record of each group and the end of its lease.
#include "leadership/primarytable.h"

#include <algorithm>

namespace cardamomstep::leadership {

bool PrimaryTable::accept(const GroupRecord &record)
{
    if (!record.confirmed()) {
        return false;
    }
    auto &entry = entries_[record.group];
    if (record.revision < entry.record.revision) {
        return false;
    }
    const bool samePrimary = entry.record.generation == record.generation && entry.record.primary == record.primary;
    if (entry.record.revision < record.revision && (!samePrimary || record.changeInProgress)) {
        // A renewal of the older record does not apply to the newer one.
        entry.validUntil = TimePoint{};
    }
    // Proxies pass a record on without this.
    const bool contested = record.contested || (entry.record.contested && entry.record.revision == record.revision);
    entry.record = record;
    entry.record.contested = contested;
    return true;
}

void PrimaryTable::renew(const std::vector<GroupRecord> &records, TimePoint requestedAt)
{
    const auto until = requestedAt + primaryTableLease;
    asOf_ = std::max(asOf_, requestedAt);
    for (const auto &record : records) {
        if (!accept(record)) {
            continue;
        }
        auto &entry = entries_[record.group];
        entry.validUntil = std::max(entry.validUntil, until);
        validUntil_ = std::max(validUntil_, until);
    }
}

const GroupRecord *PrimaryTable::find(const GroupName &group) const
{
    const auto found = entries_.find(group);
    return found == entries_.end() ? nullptr : &found->second.record;
}

relay::CachedPrimary PrimaryTable::primaryOf(const GroupName &group) const
{
    const auto found = entries_.find(group);
    if (found == entries_.end()) {
        return {};
    }
    const auto &record = found->second.record;
    return {record.primary, record.generation, found->second.validUntil, record.changeInProgress};
}

std::vector<GroupRecord> PrimaryTable::current() const
{
    std::vector<GroupRecord> records;
    for (const auto &[group, entry] : entries_) {
        // The record of a change in progress that arrived since then is newer than the table, and just as binding.
        if (entry.validUntil >= asOf_ + primaryTableLease || entry.record.changeInProgress) {
            records.push_back(entry.record);
        }
    }
    return records;
}

std::vector<GroupRecord> PrimaryTable::all() const
{
    std::vector<GroupRecord> records;
    for (const auto &[group, entry] : entries_) {
        records.push_back(entry.record);
    }
    return records;
}

} // namespace cardamomstep::leadership
