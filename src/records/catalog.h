// An immutable snapshot of all configuration that a proxy knows, for the data path.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "records/kind.h"
#include "records/record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamomstep {

/// Returns the failure domains of a group's members, sorted and without duplicates.
[[nodiscard]] std::vector<FailureDomain> domainsOf(const DatabaseGroup &group);

/// A change of one record, as reported by the store's watch or by another proxy.
struct RecordChange {
    RecordKey key;
    /// Store version of the change; for a deletion, the revision that deleted the record.
    std::uint64_t version = 0;
    /// The record afterwards; null when it was deleted.
    std::shared_ptr<const Record> record;
};

/// The number of newest deletions that a Catalog retains for its watchers; it drops older ones when there are more than twice as many.
inline constexpr std::size_t retainedDeletions = 4096;

/// A record in a Catalog.
struct CatalogEntry {
    std::uint64_t version = 0;
    std::shared_ptr<const Record> record;
};

/// An immutable set of records by key, each with its store version.
///
/// Invariant: the version of a key never decreases, in whatever order changes arrive. A change is applied only when its version is above
/// the known version of its key, deletions included, or above revision() when the key is not known.
///
/// Catalogs are shared by pointer: a reader keeps its snapshot while newer ones are created.
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
    /// Returns an empty catalog of revision 0.
    [[nodiscard]] static std::shared_ptr<const Catalog> empty();

    /// Returns a catalog of the complete list that the store returned at \a revision.
    [[nodiscard]] static std::shared_ptr<const Catalog> fromList(const std::vector<RecordChange> &records, std::uint64_t revision);

    /// Returns this catalog with \a changes, except outdated ones.
    ///
    /// \a revision is the store revision up to which the changes are complete, or 0 when others may be missing between them.
    [[nodiscard]] std::shared_ptr<const Catalog> with(const std::vector<RecordChange> &changes, std::uint64_t revision = 0) const;

    /// Returns this catalog merged with the complete list of the store at \a revision; newer versions that are already known are kept.
    [[nodiscard]] std::shared_ptr<const Catalog> withList(const std::vector<RecordChange> &records, std::uint64_t revision) const;

    /// True when \a version of \a key is newer than what this catalog knows of the key.
    [[nodiscard]] bool isNewer(const RecordKey &key, std::uint64_t version) const;

    /// Returns the group that holds \a key of \a service; the error is ErrorKind::UnknownService.
    [[nodiscard]] Result<GroupName> groupFor(const ServiceName &service, std::string_view key) const;

    /// Returns the routing intent of \a service; null when there is none. Valid during the lifetime of this catalog.
    [[nodiscard]] const RoutingIntent *intent(const ServiceName &service) const;

    /// Returns the database group \a name; null when no record describes it. Valid during the lifetime of this catalog.
    [[nodiscard]] const DatabaseGroup *group(const GroupName &name) const;

    /// Returns true if there are customers, so that callers need a key.
    [[nodiscard]] bool hasCustomers() const noexcept
    {
        return customers_ > 0;
    }

    /// Returns the customer that has the key with this digest; nothing if none has.
    [[nodiscard]] std::optional<CustomerName> customerOf(const std::string &keyDigest) const;

    /// Returns the names of all database groups, sorted.
    [[nodiscard]] std::vector<GroupName> groupNames() const;

    /// Returns the record of \a key; null when there is none. Valid during the lifetime of this catalog.
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

    /// The store revision up to which this catalog contains every change.
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

    /// The revision up to which deletions() is incomplete: deletions at or before it are not listed.
    [[nodiscard]] std::uint64_t deletionFloor() const noexcept
    {
        return deletionFloor_;
    }

private:
    /// The routing intent in effect for one service, prepared for lookups.
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
    // The values point into the records of entries_.
    std::unordered_map<GroupName, const DatabaseGroup *> groups_;
    // When several intents name one service, the one with the lowest record name is in effect.
    std::unordered_map<ServiceName, ServiceIndex> services_;
    // The names of the Customer records by the digests of their keys; two that were accepted at the same moment may share one.
    std::unordered_map<std::string, std::set<RecordName>> keyHolders_;
    std::size_t customers_ = 0;
    std::uint64_t revision_ = 0;
    // Not above revision_.
    std::uint64_t deletionFloor_ = 0;
};

} // namespace cardamomstep
