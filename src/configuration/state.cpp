// Applies changes to the known configuration and computes deltas for peers.
#include "configuration/state.h"

#include "base/hash.h"

#include <algorithm>
#include <iterator>

namespace cardamomstep {

namespace {

std::uint64_t hashOf(const ObjectKey &key, Revision version)
{
    const auto kind = stableHash(key.kind.text());
    const auto name = stableHash(key.name.text(), kind);
    return stableHash(std::to_string(version.value), name);
}

} // namespace

bool ConfigurationState::applyChange(const StoredObject &change)
{
    if (!isNew(change.key(), change.version)) {
        return false;
    }
    store(change);
    return true;
}

std::vector<StoredObject> ConfigurationState::applyListing(const StoreListing &listing)
{
    return applyFullState(listing.revision, listing.objects);
}

std::vector<StoredObject> ConfigurationState::applyChanges(const StoreChanges &changes)
{
    if (changes.tooOld) {
        return {};
    }
    auto applied = applyEach(changes.changes);
    if (changes.after <= complete_) {
        advanceComplete(changes.revision);
    }
    return applied;
}

std::vector<StoredObject> ConfigurationState::applyDelta(const ConfigurationDelta &delta)
{
    if (delta.isFullState) {
        return applyFullState(delta.upTo, delta.changes);
    }
    auto applied = applyEach(delta.changes);
    if (delta.after > complete_) {
        return applied;
    }
    for (const auto &gap : delta.gaps) {
        addGap(gap);
    }
    advanceComplete(delta.upTo);
    return applied;
}

ConfigurationDelta ConfigurationState::deltaFor(const ConfigurationDigest &peer) const
{
    if (needsFullState(peer)) {
        return fullState();
    }
    ConfigurationDelta delta{peer.complete, std::max(peer.complete, complete_), {}, false, {}};
    for (auto entry = byVersion_.upper_bound({peer.complete, {}}); entry != byVersion_.end(); ++entry) {
        const auto &[version, key] = *entry;
        if (version <= peer.complete) {
            continue;
        }
        const auto existing = objects_.find(key);
        delta.changes.push_back(existing == objects_.end() ? StoredObject{key.kind, key.name, version, {}, true} : existing->second);
    }
    for (const auto &gap : gaps_) {
        if (gap.upTo > delta.after) {
            delta.gaps.push_back(gap);
        }
    }
    return delta;
}

ConfigurationDelta ConfigurationState::fullState() const
{
    ConfigurationDelta delta{{}, complete_, {}, true, {}};
    delta.changes.reserve(objects_.size());
    for (const auto &[key, object] : objects_) {
        delta.changes.push_back(object);
    }
    for (const auto &[key, version] : tombstones_) {
        if (version > complete_) {
            delta.changes.push_back({key.kind, key.name, version, {}, true});
        }
    }
    return delta;
}

const StoredObject *ConfigurationState::find(const ObjectKey &key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? nullptr : &found->second;
}

std::vector<const StoredObject *> ConfigurationState::ofKind(const ObjectKind &kind) const
{
    std::vector<const StoredObject *> found;
    for (auto entry = objects_.lower_bound({kind, {}}); entry != objects_.end() && entry->first.kind == kind; ++entry) {
        found.push_back(&entry->second);
    }
    return found;
}

bool ConfigurationState::isNew(const ObjectKey &key, Revision version) const
{
    if (version <= complete_) {
        return false;
    }
    const auto existing = objects_.find(key);
    if (existing != objects_.end()) {
        return version > existing->second.version;
    }
    const auto tombstone = tombstones_.find(key);
    return tombstone == tombstones_.end() || version > tombstone->second;
}

void ConfigurationState::store(const StoredObject &change)
{
    const auto key = change.key();
    erase(key);
    byVersion_.emplace(change.version, key);
    highest_ = std::max(highest_, change.version);
    if (change.deleted) {
        tombstones_[key] = change.version;
        dropOldTombstones();
        return;
    }
    hash_ += hashOf(key, change.version);
    objects_[key] = change;
}

void ConfigurationState::erase(const ObjectKey &key)
{
    const auto existing = objects_.find(key);
    if (existing != objects_.end()) {
        hash_ -= hashOf(key, existing->second.version);
        byVersion_.erase({existing->second.version, key});
        objects_.erase(existing);
    }
    const auto tombstone = tombstones_.find(key);
    if (tombstone != tombstones_.end()) {
        byVersion_.erase({tombstone->second, key});
        tombstones_.erase(tombstone);
    }
}

void ConfigurationState::advanceComplete(Revision revision)
{
    complete_ = std::max(complete_, revision);
    highest_ = std::max(highest_, complete_);
    dropOldTombstones();
}

void ConfigurationState::dropOldTombstones()
{
    if (tombstones_.size() <= limits_.maxTombstones) {
        return;
    }
    // A tombstone above `complete_` still protects against an older version of its object and must stay.
    auto entry = byVersion_.begin();
    while (entry != byVersion_.end() && entry->first <= complete_ && tombstones_.size() > limits_.maxTombstones) {
        const auto tombstone = tombstones_.find(entry->second);
        if (tombstone == tombstones_.end()) {
            ++entry;
            continue;
        }
        floor_ = std::max(floor_, entry->first);
        tombstones_.erase(tombstone);
        entry = byVersion_.erase(entry);
    }
}

std::vector<StoredObject> ConfigurationState::applyEach(const std::vector<StoredObject> &changes)
{
    std::vector<StoredObject> applied;
    for (const auto &change : changes) {
        if (applyChange(change)) {
            applied.push_back(change);
        }
    }
    return applied;
}

std::vector<StoredObject> ConfigurationState::applyFullState(Revision revision, const std::vector<StoredObject> &objects)
{
    if (revision < complete_) {
        return {};
    }
    auto applied = applyEach(objects);
    std::set<ObjectKey> listed;
    for (const auto &object : objects) {
        listed.insert(object.key());
    }
    std::vector<StoredObject> deletions;
    for (const auto &[key, object] : objects_) {
        if (object.version <= revision && listed.count(key) == 0) {
            deletions.push_back({key.kind, key.name, revision, {}, true});
        }
    }
    for (auto &deletion : deletions) {
        store(deletion);
        applied.push_back(std::move(deletion));
    }
    addGap({complete_, revision});
    advanceComplete(revision);
    return applied;
}

void ConfigurationState::addGap(const RevisionGap &gap)
{
    if (gap.upTo <= complete_) {
        return;
    }
    if (complete_.value == 0) {
        // Nothing was complete before, so no deletion up to here is known for certain.
        floor_ = gap.upTo;
        return;
    }
    gaps_.push_back({std::min(gap.after, complete_), gap.upTo});
    if (gaps_.size() > limits_.maxGaps) {
        floor_ = std::max(floor_, gaps_.front().upTo);
        gaps_.erase(gaps_.begin());
    }
}

bool ConfigurationState::needsFullState(const ConfigurationDigest &peer) const
{
    if (peer.complete < floor_) {
        return true;
    }
    // A peer that knows a change inside a gap may hold an object whose deletion is not known here.
    return std::any_of(
        gaps_.begin(), gaps_.end(), [&](const RevisionGap &gap) { return peer.complete < gap.upTo && peer.highest > gap.after; });
}

} // namespace cardamomstep
