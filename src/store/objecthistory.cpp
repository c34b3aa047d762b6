// Applies listings and changes to one kind's objects, and derives the changes after a revision.
#include "store/objecthistory.h"

#include <algorithm>
#include <set>

namespace cardamomstep {

void ObjectHistory::put(const StoredObject &object)
{
    const auto tombstone = tombstones_.find(object.name);
    const auto current = objects_.find(object.name);
    if ((tombstone != tombstones_.end() && object.version < tombstone->second.version)
        || (current != objects_.end() && object.version < current->second.version)) {
        return;
    }
    newest_ = std::max(newest_, object.version);
    if (object.deleted) {
        objects_.erase(object.name);
        addTombstone(object);
        return;
    }
    objects_[object.name] = object;
    tombstones_.erase(object.name);
}

void ObjectHistory::addTombstone(const StoredObject &object)
{
    tombstones_[object.name] = object;
    if (tombstones_.size() <= maxTombstones) {
        return;
    }
    const auto oldest = std::min_element(tombstones_.begin(), tombstones_.end(), [](const auto &left, const auto &right) {
        return left.second.version < right.second.version;
    });
    tombstonesSince_ = std::max(tombstonesSince_, oldest->second.version);
    tombstones_.erase(oldest);
}

void ObjectHistory::replaceAll(Revision revision, const std::vector<StoredObject> &objects)
{
    if (!listed_ || complete_.epoch < revision.epoch) {
        // What was deleted before is not known, or has versions of another epoch.
        tombstones_.clear();
        tombstonesSince_ = revision;
        objects_.clear();
    }
    std::set<ObjectName> present;
    for (const auto &object : objects) {
        present.insert(object.name);
    }
    std::vector<StoredObject> missing;
    for (const auto &[name, object] : objects_) {
        if (!present.contains(name) && object.version <= revision) {
            // Deleted at an unknown revision, which is not above that of the listing.
            missing.push_back({object.kind, name, revision, {}, true});
        }
    }
    for (const auto &object : missing) {
        objects_.erase(object.name);
        addTombstone(object);
    }
    for (const auto &object : objects) {
        put(object);
    }
    complete_ = std::max(complete_, revision);
    listed_ = true;
}

void ObjectHistory::apply(const StoreListing &listing)
{
    replaceAll(listing.revision, listing.objects);
}

void ObjectHistory::apply(const StoreChanges &changes)
{
    for (const auto &object : changes.changes) {
        put(object);
    }
    complete_ = std::max(complete_, changes.revision);
}

std::optional<ObjectUpdate> ObjectHistory::apply(const RelayedObjects &relayed)
{
    if (relayed.revision < complete_) {
        return std::nullopt;
    }
    if (relayed.whole) {
        replaceAll(relayed.revision, relayed.objects);
        return StoreListing{relayed.revision, relayed.objects};
    }
    const bool gap =
        !listed_ || relayed.after > complete_ || relayed.after.epoch != complete_.epoch || relayed.revision.epoch != complete_.epoch;
    if (gap) {
        return std::nullopt;
    }
    StoreChanges changes{complete_, relayed.revision, {}, false};
    std::copy_if(relayed.objects.begin(), relayed.objects.end(), std::back_inserter(changes.changes), [this](const auto &object) {
        return object.version > complete_;
    });
    std::sort(
        changes.changes.begin(), changes.changes.end(), [](const auto &left, const auto &right) { return left.version < right.version; });
    apply(changes);
    return changes;
}

RelayedObjects ObjectHistory::changesAfter(Revision known) const
{
    RelayedObjects relayed{known, complete_, false, {}};
    relayed.whole = known.epoch != complete_.epoch || known < tombstonesSince_ || known.value == 0;
    for (const auto &[name, object] : objects_) {
        if (relayed.whole || object.version > known) {
            relayed.objects.push_back(object);
        }
    }
    if (relayed.whole) {
        return relayed;
    }
    for (const auto &[name, object] : tombstones_) {
        if (object.version > known) {
            relayed.objects.push_back(object);
        }
    }
    return relayed;
}

std::size_t transferSize(const std::vector<StoredObject> &objects) noexcept
{
    // Revision, epoch, flags and field headers.
    constexpr std::size_t overhead = 24;
    std::size_t size = 0;
    for (const auto &object : objects) {
        size += object.name.text().size() + object.value.size() + overhead;
    }
    return size;
}

} // namespace cardamomstep
