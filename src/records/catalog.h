// All configuration that a proxy knows, as an immutable snapshot for the data path.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "records/kind.h"
#include "records/record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamomstep {

/// The failure domains of a group's members, sorted, each once.
[[nodiscard]] std::vector<FailureDomain> domainsOf(const DatabaseGroup &group);

/// A change of one record, as the store's watch or another proxy reports it.
struct RecordChange {
    RecordKey key;
    /// Store version of the change; for a deletion, the revision that deleted the record.
    std::uint64_t version = 0;
    /// The record afterwards; null when it was deleted.
    std::shared_ptr<const Record> record;
};

/// Fewest deletions that a Catalog remembers for its watchers.
inline constexpr std::size_t maxDeletions = 4096;

/// A record in a Catalog.
struct CatalogEntry {
    std::uint64_t version = 0;
    std::shared_ptr<const Record> record;
};

/// An immutable set of records by key, each with its store version.
///
/// A change is taken only when its version is above the known one of its key, deletions included, or above revision() when the key is
/// not known; so the catalog never goes back, in whatever order changes arrive. Shared by pointer: a reader keeps its snapshot while newer
/// ones are made.
///
/// Example:
/// \code
/// std::shared_ptr<const Catalog> catalog = Catalog::fromList(changes, revision);
/// catalog = catalog->with({change});
/// const auto group = catalog->groupFor(service, key);
/// \endcode
class Catalog
{
public:
    /// An empty catalog of revision 0.
    [[nodiscard]] static std::shared_ptr<const Catalog> empty();

    /// A catalog of a whole list that the store gave at \a revision.
    [[nodiscard]] static std::shared_ptr<const Catalog> fromList(const std::vector<RecordChange> &records, std::uint64_t revision);

    /// This catalog with \a changes, older ones left out; \a revision is the store's revision that the changes reach up to, or 0 when
    /// they are single changes with gaps between them.
    [[nodiscard]] std::shared_ptr<const Catalog> with(const std::vector<RecordChange> &changes, std::uint64_t revision = 0) const;

    /// The whole list of the store at \a revision, merged: newer changes that are known already stay.
    [[nodiscard]] std::shared_ptr<const Catalog> withList(const std::vector<RecordChange> &records, std::uint64_t revision) const;

    /// True when \a version of \a key would be a change.
    [[nodiscard]] bool isNewer(const RecordKey &key, std::uint64_t version) const;

    /// The group that holds \a key of \a service; the error is ErrorKind::UnknownService.
    [[nodiscard]] Result<GroupName> groupFor(const ServiceName &service, std::string_view key) const;

    /// The routing intent of \a service; null when there is none. Valid as long as this catalog.
    [[nodiscard]] const RoutingIntent *intent(const ServiceName &service) const;

    /// The database group \a name; null when no record describes it. Valid as long as this catalog.
    [[nodiscard]] const DatabaseGroup *group(const GroupName &name) const;

    /// The names of all database groups, sorted.
    [[nodiscard]] std::vector<GroupName> groupNames() const;

    /// The record of \a key; null when there is none.
    [[nodiscard]] const CatalogEntry *find(const RecordKey &key) const;

    /// All records by key.
    [[nodiscard]] const std::map<RecordKey, CatalogEntry> &entries() const noexcept
    {
        return entries_;
    }

    /// The deletions after deletionFloor(), by key, with their revisions.
    [[nodiscard]] const std::map<RecordKey, std::uint64_t> &deletions() const noexcept
    {
        return deletions_;
    }

    /// Every change up to this store revision is contained.
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

    /// Deletions at or before this revision are not known one by one.
    [[nodiscard]] std::uint64_t deletionFloor() const noexcept
    {
        return deletionFloor_;
    }

private:
    /// The intent that counts for one service, ready for lookups.
    struct ServiceIndex {
        std::shared_ptr<const Record> record;
        // Sorted by prefix.
        std::shared_ptr<const std::vector<PrefixRule>> prefixes;
    };

    void applyChange(const RecordChange &change);
    void dropOldDeletions();
    void remove(const RecordKey &key);
    void indexRecord(const std::shared_ptr<const Record> &record);
    void indexIntent(const std::shared_ptr<const Record> &record);
    void unindexRecord(const Record &record);
    void unindexIntent(const Record &record);

    std::map<RecordKey, CatalogEntry> entries_;
    // No key is in both entries_ and deletions_.
    std::map<RecordKey, std::uint64_t> deletions_;
    // Point into the records that entries_ holds.
    std::unordered_map<GroupName, const DatabaseGroup *> groups_;
    // Where two intents name one service, the one with the lowest record name counts.
    std::unordered_map<ServiceName, ServiceIndex> services_;
    std::uint64_t revision_ = 0;
    // Not above revision_.
    std::uint64_t deletionFloor_ = 0;
};

} // namespace cardamomstep
