// The objects of one kind with the recent deletions, from which the changes after any recent revision can be passed on.
#pragma once

#include "store/object.h"

#include <cstddef>
#include <map>
#include <optional>
#include <variant>

namespace cardamomstep {

/// Objects of one kind that one process passes to another, which knows all changes up to `after`.
struct RelayedObjects {
    Revision after;
    /// The receiver knows all changes up to this revision once it has applied the objects.
    Revision revision;
    /// True if `objects` are all objects of the kind; false if they are those that changed after `after`, including deletions.
    bool whole = false;
    std::vector<StoredObject> objects;

    [[nodiscard]] bool operator==(const RelayedObjects &) const = default;
};

/// What a receiver is to apply: a complete listing or changes.
using ObjectUpdate = std::variant<StoreListing, StoreChanges>;

/// Keeps one kind's objects by name, and deletions as tombstones.
///
/// Performs no I/O. An object never returns to an older version.
class ObjectHistory
{
public:
    /// Applies a listing of the store that is at least as new as complete().
    void apply(const StoreListing &listing);

    /// Applies changes of the store that follow complete() without a gap.
    void apply(const StoreChanges &changes);

    /// Applies objects from another process and returns what its consumers are to apply; nothing if the objects are older than what is
    /// known, are of an earlier epoch, or leave a gap.
    [[nodiscard]] std::optional<ObjectUpdate> apply(const RelayedObjects &relayed);

    /// Returns what a process lacks that knows all changes up to \a known.
    [[nodiscard]] RelayedObjects changesAfter(Revision known) const;

    /// All changes up to this revision are known; 0 before the first listing.
    [[nodiscard]] Revision complete() const noexcept
    {
        return complete_;
    }

    /// True once a complete listing was applied.
    [[nodiscard]] bool listed() const noexcept
    {
        return listed_;
    }

    /// Version of the newest change that was applied.
    [[nodiscard]] Revision newest() const noexcept
    {
        return newest_;
    }

private:
    /// Deletions that are remembered; a receiver that lacks older ones gets all objects.
    static constexpr std::size_t maxTombstones = 1000;

    void put(const StoredObject &object);
    void addTombstone(const StoredObject &object);
    void replaceAll(Revision revision, const std::vector<StoredObject> &objects);

    std::map<ObjectName, StoredObject> objects_;
    std::map<ObjectName, StoredObject> tombstones_;
    Revision complete_;
    Revision newest_;
    /// All deletions after this revision are in tombstones_.
    Revision tombstonesSince_;
    bool listed_ = false;
};

/// Returns the size of \a objects in bytes as transferred, without the overhead of the encoding.
[[nodiscard]] std::size_t transferSize(const std::vector<StoredObject> &objects) noexcept;

} // namespace cardamomstep
