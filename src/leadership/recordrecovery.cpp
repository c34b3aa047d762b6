// Which records are written again, and with which content.
#include "leadership/recordrecovery.h"

#include <algorithm>

namespace cardamomstep::leadership {

namespace {

/// Bits of a generation below those of the epoch.
constexpr unsigned generationBits = 32;

} // namespace

std::uint64_t firstGenerationOf(StoreEpoch epoch) noexcept
{
    return epoch.value == 0 ? 1 : epoch.value << generationBits;
}

void RecordRecovery::reset(StoreEpoch epoch)
{
    epoch_ = epoch;
    unconfirmed_.clear();
    remembered_.clear();
    unverified_.clear();
}

void RecordRecovery::onStoreEpoch(StoreEpoch epoch, const std::vector<GroupName> &remembered)
{
    epoch_ = epoch;
    unconfirmed_.clear();
    remembered_ = {remembered.begin(), remembered.end()};
}

void RecordRecovery::onStored(const GroupRecord &stored)
{
    if (stored.revision.epoch != epoch_) {
        return;
    }
    if (stored.confirmed()) {
        unconfirmed_.erase(stored.group);
        remembered_.erase(stored.group);
        return;
    }
    auto &unconfirmed = unconfirmed_[stored.group];
    if (unconfirmed.stored.revision < stored.revision) {
        unconfirmed.stored = stored;
    }
}

void RecordRecovery::onListing(const std::vector<GroupRecord> &stored, const PrimaryTable &table)
{
    std::set<GroupName> listed;
    for (const auto &record : stored) {
        listed.insert(record.group);
        onStored(record);
    }
    for (const auto &known : table.all()) {
        if (!listed.contains(known.group) && !current(known)) {
            auto &unconfirmed = unconfirmed_[known.group];
            unconfirmed.stored = known;
            unconfirmed.stored.revision = Revision{};
        }
    }
}

std::vector<GroupRecord> RecordRecovery::next(const PrimaryTable &table, TimePoint now)
{
    std::vector<GroupRecord> writes;
    for (auto &[group, unconfirmed] : unconfirmed_) {
        if (unconfirmed.writePending || now < unconfirmed.retryAt) {
            continue;
        }
        unconfirmed.writePending = true;
        writes.push_back(replacementOf(unconfirmed.stored, table));
    }
    return writes;
}

GroupRecord RecordRecovery::replacementOf(const GroupRecord &stored, const PrimaryTable &table)
{
    const auto *known = table.find(stored.group);
    GroupRecord replacement = stored;
    if (known != nullptr && trusted(*known)) {
        replacement = *known;
        if (replacement.changeInProgress) {
            // The end of the change may have been stored and lost; what follows must not share its generation.
            ++replacement.generation;
        }
    } else {
        const auto knownGeneration = known == nullptr ? 0 : known->generation;
        replacement.primary = known != nullptr && known->generation > stored.generation ? known->primary : stored.primary;
        replacement.generation = std::max({firstGenerationOf(epoch_), stored.generation + 1, knownGeneration + 1});
        replacement.changeInProgress = true;
        replacement.contested = true;
        unverified_.insert(stored.group);
    }
    replacement.revision = stored.revision;
    replacement.writtenIn = epoch_;
    return replacement;
}

void RecordRecovery::written(const GroupName &group)
{
    unconfirmed_.erase(group);
    remembered_.erase(group);
}

void RecordRecovery::failed(const GroupName &group, TimePoint now)
{
    const auto found = unconfirmed_.find(group);
    if (found != unconfirmed_.end()) {
        found->second.writePending = false;
        found->second.retryAt = now + limits_.retryDelay;
    }
}

bool RecordRecovery::trusted(const GroupRecord &record) const
{
    return current(record) || remembered_.contains(record.group);
}

std::vector<GroupRecord> RecordRecovery::trustedRecords(const PrimaryTable &table) const
{
    auto records = table.all();
    std::erase_if(records, [this](const GroupRecord &record) { return !trusted(record); });
    return records;
}

bool RecordRecovery::current(const GroupRecord &record) const
{
    return record.revision.epoch == epoch_;
}

} // namespace cardamomstep::leadership
