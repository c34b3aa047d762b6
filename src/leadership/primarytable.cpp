// Keeps the newest record of each group and the end of its view.
#include "leadership/primarytable.h"

#include <algorithm>

namespace cardamomstep::leadership {

bool ViewBook::accept(const GroupRecord &record)
{
    auto &entry = entries_[record.group];
    if (record.revision < entry.record.revision) {
        return false;
    }
    if (entry.record.revision < record.revision && (entry.record.generation != record.generation || record.moving)) {
        // What was proved of the older record says nothing of the newer one.
        entry.validUntil = TimePoint{};
    }
    entry.record = record;
    return true;
}

void ViewBook::renew(const std::vector<GroupRecord> &records, TimePoint askedAt)
{
    const auto until = askedAt + viewLease;
    asOf_ = std::max(asOf_, askedAt);
    for (const auto &record : records) {
        if (!accept(record)) {
            continue;
        }
        auto &entry = entries_[record.group];
        entry.validUntil = std::max(entry.validUntil, until);
        newest_ = std::max(newest_, until);
    }
}

const GroupRecord *ViewBook::find(const GroupName &group) const
{
    const auto found = entries_.find(group);
    return found == entries_.end() ? nullptr : &found->second.record;
}

relay::PrimaryBelief ViewBook::belief(const GroupName &group) const
{
    const auto found = entries_.find(group);
    if (found == entries_.end()) {
        return {};
    }
    const auto &record = found->second.record;
    return {record.primary, record.generation, found->second.validUntil, record.moving};
}

std::vector<GroupRecord> ViewBook::current() const
{
    std::vector<GroupRecord> records;
    for (const auto &[group, entry] : entries_) {
        // A record of a move that was heard of since then is newer than the view, and just as binding.
        if (entry.validUntil >= asOf_ + viewLease || entry.record.moving) {
            records.push_back(entry.record);
        }
    }
    return records;
}

std::vector<GroupRecord> ViewBook::all() const
{
    std::vector<GroupRecord> records;
    for (const auto &[group, entry] : entries_) {
        records.push_back(entry.record);
    }
    return records;
}

} // namespace cardamomstep::leadership
