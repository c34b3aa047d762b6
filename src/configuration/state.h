// The configuration that one proxy knows: the newest accepted version of each object, which never goes back.
//
// Pure: changes come in from watch, list and peers in any order, some twice or late.
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

/// What two proxies compare to find out whether one of them lacks a change.
struct ConfigurationDigest {
    /// All changes up to here are known.
    Revision complete;
    /// The newest change known; above `complete` while changes between are missing.
    Revision highest;
    /// Hash over kind, name and version of all objects known; equal for equal objects.
    std::uint64_t hash = 0;
    /// A peer whose `complete` is below this needs all objects instead of a few changes.
    Revision floor;

    [[nodiscard]] bool operator==(const ConfigurationDigest &) const = default;

    /// True when both know the same changes.
    [[nodiscard]] bool sameContent(const ConfigurationDigest &other) const noexcept
    {
        return complete == other.complete && highest == other.highest && hash == other.hash;
    }
};

/// A span of revisions that was crossed by a listing: an object made and deleted inside it left no tombstone.
struct RevisionGap {
    Revision after;
    Revision upTo;

    [[nodiscard]] bool operator==(const RevisionGap &) const = default;
};

/// Changes that one proxy hands to another.
struct ConfigurationDelta {
    /// The changes are whole from here ...
    Revision after;
    /// ... to here. A receiver that knows everything up to `after` then knows everything up to `upTo`.
    Revision upTo;
    /// In order of version; deletions have no value.
    std::vector<StoredObject> changes;
    /// True when `changes` are all objects that exist at `upTo` (and the deletions after it), so that whatever is missing was
    /// deleted; `after` is then 0.
    bool isFullState = false;
    /// Gaps between `after` and `upTo`, which the receiver keeps for its own peers.
    std::vector<RevisionGap> gaps;

    [[nodiscard]] bool operator==(const ConfigurationDelta &) const = default;
};

/// Limits of a ConfigurationState.
struct ConfigurationLimits {
    /// Deletions kept to tell peers of.
    std::size_t maxTombstones = 4096;
    /// Gaps kept; an older one raises the floor.
    std::size_t maxGaps = 8;
};

/// The configuration known to one proxy.
///
/// Invariants: the version held for an object never falls; a deleted object never comes back with a version at or below its
/// deletion's; `digest().complete` never falls. A change at or below `complete` is known already, so a deletion is remembered only
/// for peers: when its tombstone has been dropped, an older version of the object is still refused.
class ConfigurationState
{
public:
    explicit ConfigurationState(ConfigurationLimits limits = {})
        : limits_(limits)
    {
    }

    /// Takes one change, from whom ever; returns true when it is new here.
    bool applyChange(const StoredObject &change);

    /// Takes a listing of all kinds; returns the changes that were new here, deletions included.
    ///
    /// A listing from before `complete` is a stale read and changes nothing.
    std::vector<StoredObject> applyListing(const StoreListing &listing);

    /// Takes the store's answer to a watch; returns the changes that were new here.
    std::vector<StoredObject> applyChanges(const StoreChanges &changes);

    /// Takes what a peer handed over; returns the changes that were new here.
    std::vector<StoredObject> applyDelta(const ConfigurationDelta &delta);

    /// What the peer with the digest \a peer lacks.
    ///
    /// Never cut in the middle: of an object that changed twice only the newer version is sent, so a part of the changes would not
    /// be a whole state at any revision. A peer that may hold an object whose tombstone is not here gets all objects.
    [[nodiscard]] ConfigurationDelta deltaFor(const ConfigurationDigest &peer) const;

    /// All objects known, with `upTo` the revision up to which they are whole.
    [[nodiscard]] ConfigurationDelta fullState() const;

    /// The object under \a key; null when there is none. Valid until the next change.
    [[nodiscard]] const StoredObject *find(const ObjectKey &key) const;

    /// All objects of \a kind, sorted by name. Valid until the next change.
    [[nodiscard]] std::vector<const StoredObject *> ofKind(const ObjectKind &kind) const;

    /// What peers compare.
    [[nodiscard]] ConfigurationDigest digest() const noexcept
    {
        return {complete_, highest_, hash_, floor_};
    }

    /// Number of objects held.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return objects_.size();
    }

    /// Number of deletions remembered.
    [[nodiscard]] std::size_t tombstones() const noexcept
    {
        return tombstones_.size();
    }

private:
    [[nodiscard]] bool isNew(const ObjectKey &key, Revision version) const;
    void store(const StoredObject &change);
    void erase(const ObjectKey &key);
    void raiseComplete(Revision revision);
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
    std::uint64_t hash_ = 0;
};

} // namespace cardamomstep
