// The configuration known to one proxy: the newest accepted version of each object, which never decreases.
//
// Performs no I/O: changes arrive from watches, listings and peers in any order, some repeatedly or delayed.
#pragma once

#include "configuration/fwd.h"
#include "store/object.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace cardamomstep {

/// Summary that two proxies compare to find out whether one of them lacks a change.
struct ConfigurationDigest {
    /// All changes up to this revision are known.
    Revision complete;
    /// The newest known change; above `complete` while changes in between are missing.
    Revision highest;
    /// Hash over kind, name and version of all known objects; equal for equal objects.
    std::uint64_t hash = 0;

    [[nodiscard]] bool operator==(const ConfigurationDigest &) const = default;

    /// Returns true when both proxies know the same changes.
    [[nodiscard]] bool sameContent(const ConfigurationDigest &other) const noexcept
    {
        return complete == other.complete && highest == other.highest && hash == other.hash;
    }
};

/// A range of revisions that a listing skipped: an object created and deleted within it left no tombstone.
struct RevisionGap {
    Revision after;
    Revision upTo;

    [[nodiscard]] bool operator==(const RevisionGap &) const = default;
};

/// Changes that one proxy sends to another.
struct ConfigurationDelta {
    /// The changes are complete from this revision ...
    Revision after;
    /// ... up to this one. A receiver that knows everything up to `after` then knows everything up to `upTo`.
    Revision upTo;
    /// In order of version; deletions have no value.
    std::vector<StoredObject> changes;
    /// True when `changes` holds all objects that exist at `upTo` and the deletions after it, so that any object missing from it was
    /// deleted; `after` is then 0.
    bool isFullState = false;
    /// Gaps between `after` and `upTo`, which the receiver keeps for its own peers.
    std::vector<RevisionGap> gaps;

    [[nodiscard]] bool operator==(const ConfigurationDelta &) const = default;
};

/// Limits of a ConfigurationState.
struct ConfigurationLimits {
    /// The maximum number of deletions kept to send to peers.
    std::size_t maxTombstones = 4096;
    /// The maximum number of gaps kept; an older one raises the floor.
    std::size_t maxGaps = 8;
};

/// The configuration known to one proxy.
///
/// Invariants: the version held for an object never decreases; a deleted object never reappears with a version at or below its
/// deletion's; `digest().complete` never decreases. A change at or below `complete` is known already, so the tombstone of a deletion is
/// kept only for peers: when it has been dropped, an older version of the object is still refused.
class ConfigurationState
{
public:
    explicit ConfigurationState(ConfigurationLimits limits = {})
        : limits_(limits)
    {
    }

    /// Applies one change from any source; returns true when it is new here.
    bool applyChange(const StoredObject &change);

    /// Applies a listing of all kinds; returns the changes that were new here, including deletions.
    ///
    /// A listing from before `complete` is a stale read and changes nothing.
    std::vector<StoredObject> applyListing(const StoreListing &listing);

    /// Applies the store's reply to a watch; returns the changes that were new here.
    std::vector<StoredObject> applyChanges(const StoreChanges &changes);

    /// Applies a peer's delta; returns the changes that were new here.
    std::vector<StoredObject> applyDelta(const ConfigurationDelta &delta);

    /// Returns what the peer with the digest \a peer lacks.
    ///
    /// Never split: of an object that changed twice only the newer version is sent, so a part of the changes would not be a complete
    /// state at any revision. A peer that may hold an object whose tombstone is missing here gets all objects.
    [[nodiscard]] ConfigurationDelta deltaFor(const ConfigurationDigest &peer) const;

    /// Returns all known objects, with `upTo` the revision up to which they are complete.
    [[nodiscard]] ConfigurationDelta fullState() const;

    /// Returns the object under \a key, or null when there is none. Valid until the next change.
    [[nodiscard]] const StoredObject *find(const ObjectKey &key) const;

    /// Returns all objects of \a kind, sorted by name. Valid until the next change.
    [[nodiscard]] std::vector<const StoredObject *> ofKind(const ObjectKind &kind) const;

    /// Returns the digest that peers compare.
    [[nodiscard]] ConfigurationDigest digest() const noexcept
    {
        return {complete_, highest_, hash_};
    }

    /// The number of objects held.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return objects_.size();
    }

    /// The number of tombstones kept.
    [[nodiscard]] std::size_t tombstones() const noexcept
    {
        return tombstones_.size();
    }

private:
    [[nodiscard]] bool isNew(const ObjectKey &key, Revision version) const;
    void store(const StoredObject &change);
    void erase(const ObjectKey &key);
    void advanceComplete(Revision revision);
    void dropOldTombstones();
    std::vector<StoredObject> applyEach(const std::vector<StoredObject> &changes);
    void addGap(const RevisionGap &gap);
    [[nodiscard]] bool needsFullState(const ConfigurationDigest &peer) const;
    std::vector<StoredObject> applyFullState(Revision revision, const std::vector<StoredObject> &objects);

    ConfigurationLimits limits_;
    std::map<ObjectKey, StoredObject> objects_;
    /// Deletions by object. Invariant: disjoint from objects_.
    std::map<ObjectKey, Revision> tombstones_;
    /// Objects and tombstones in order of version.
    std::set<std::pair<Revision, ObjectKey>> byVersion_;
    Revision complete_;
    Revision highest_;
    /// Deletions at or below this revision may have been dropped. Invariant: not above complete_.
    Revision floor_;
    /// Invariant: in order, above floor_ and not above complete_.
    std::vector<RevisionGap> gaps_;
    /// Sum of the objects' hashes, so that their order does not matter.
    std::uint64_t hash_ = 0;
};

} // namespace cardamomstep
