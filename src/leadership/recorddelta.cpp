// Compares each set of records with the one before.
#include "leadership/recorddelta.h"

#include <set>

namespace cardamomstep::leadership {

void RecordDeltaSender::update(const std::vector<GroupRecord> &records)
{
    const auto next = version_ + 1;
    bool changed = version_ == 0;
    std::set<GroupName> present;
    for (const auto &record : records) {
        present.insert(record.group);
        auto &entry = entries_[record.group];
        if (!entry.present || !(entry.record == record)) {
            entry = {record, next, true};
            changed = true;
        }
    }
    for (auto &[group, entry] : entries_) {
        if (entry.present && !present.contains(group)) {
            entry.present = false;
            entry.since = next;
            changed = true;
        }
    }
    version_ = changed ? next : version_;
}

RecordDelta RecordDeltaSender::encode(const std::vector<GroupRecord> &records, const RecordSetId &known)
{
    update(records);
    RecordDelta delta;
    delta.id = {process_, version_};
    const bool usable = known.process == process_ && known.version > 0 && known.version <= version_;
    delta.base = usable ? known.version : 0;
    for (const auto &[group, entry] : entries_) {
        if (entry.since <= delta.base) {
            continue;
        }
        if (entry.present) {
            delta.changed.push_back(entry.record);
        } else if (usable) {
            delta.removed.push_back(group);
        }
    }
    return delta;
}

std::optional<std::vector<GroupRecord>> RecordDeltaReceiver::decode(const RecordDelta &delta)
{
    if (delta.base == 0) {
        records_.clear();
    } else if (known_ != RecordSetId{delta.id.process, delta.base}) {
        known_ = {};
        return std::nullopt;
    }
    known_ = delta.id;
    for (const auto &group : delta.removed) {
        records_.erase(group);
    }
    for (const auto &record : delta.changed) {
        records_[record.group] = record;
    }
    std::vector<GroupRecord> records;
    for (const auto &[group, record] : records_) {
        records.push_back(record);
    }
    return records;
}

} // namespace cardamomstep::leadership
