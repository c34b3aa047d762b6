// Plain values for the objects of the platform's store and the instances of its list.
#pragma once

#include "base/ids.h"
#include "store/fwd.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace cardamomstep {

/// The kind of an object in the store, for example "group".
using ObjectKind = StrongId<struct ObjectKindTag>;
/// The name of an object, unique within its kind.
using ObjectName = StrongId<struct ObjectNameTag>;
/// Random identifier that the writer draws for each write.
using WriterNonce = StrongId<struct WriterNonceTag>;

/// Counts how often the store came back from an older copy. 0 for a store that does not report it.
struct StoreEpoch {
    std::uint64_t value = 0;

    [[nodiscard]] constexpr auto operator<=>(const StoreEpoch &) const noexcept = default;
};

/// A store-wide revision, which increases with each change of any object. 0 means "before all changes" or "absent".
///
/// A store that came back from an older copy gives out the same numbers again, so revisions are ordered by their epochs first.
struct Revision {
    std::uint64_t value = 0;
    /// The epoch of the reply that contained the revision.
    StoreEpoch epoch;

    [[nodiscard]] constexpr bool operator==(const Revision &) const noexcept = default;
    [[nodiscard]] constexpr std::strong_ordering operator<=>(const Revision &other) const noexcept
    {
        const auto order = epoch <=> other.epoch;
        return std::is_eq(order) ? value <=> other.value : order;
    }
};

inline std::ostream &operator<<(std::ostream &out, const Revision &revision)
{
    return revision.epoch.value == 0 ? out << revision.value : out << revision.epoch.value << '/' << revision.value;
}

/// Identifies an object by its kind and name.
struct ObjectKey {
    ObjectKind kind;
    ObjectName name;

    [[nodiscard]] auto operator<=>(const ObjectKey &) const = default;
    [[nodiscard]] bool operator==(const ObjectKey &) const = default;
};

/// One version of an object, or its deletion.
struct StoredObject {
    ObjectKind kind;
    ObjectName name;
    /// Revision of the change that made this version.
    Revision version;
    /// The value as JSON text; empty for a deletion.
    std::string value;
    bool deleted = false;

    [[nodiscard]] ObjectKey key() const
    {
        return {kind, name};
    }
    [[nodiscard]] bool operator==(const StoredObject &) const = default;
};

/// All objects of one kind, or of all kinds, as of one revision.
struct StoreListing {
    Revision revision;
    std::vector<StoredObject> objects;
    /// Number of objects that are left out because their names or revisions cannot be read.
    std::uint32_t unreadable = 0;

    [[nodiscard]] bool operator==(const StoreListing &) const = default;
};

/// All changes after one revision up to another, in order.
struct StoreChanges {
    Revision after;
    /// The changes are complete up to this revision; not below `after` unless the store replied from an old state.
    Revision revision;
    std::vector<StoredObject> changes;
    /// True when `after` is too old to resume from (status 410): a new listing is needed. `changes` is then empty.
    bool tooOld = false;
    /// Number of changes that are left out because the names or revisions of their objects cannot be read.
    std::uint32_t unreadable = 0;

    [[nodiscard]] bool operator==(const StoreChanges &) const = default;
};

/// State of an instance in the platform's list.
enum class ListedState : std::uint8_t {
    Live,
    Leaving,
};

/// An entry of the platform's instance list, which may be outdated.
struct ListedInstance {
    /// Instance name; for endpoints, the member's name.
    std::string name;
    FailureDomain domain;
    Address address;
    ListedState state = ListedState::Live;
    /// "proxy" for instances of this system, "endpoint" for members.
    std::string role = "proxy";

    [[nodiscard]] bool operator==(const ListedInstance &) const = default;
};

} // namespace cardamomstep

template<>
struct std::hash<cardamomstep::ObjectKey> {
    [[nodiscard]] std::size_t operator()(const cardamomstep::ObjectKey &key) const noexcept
    {
        constexpr std::size_t mixer = 0x9e3779b97f4a7c15ULL;
        return (std::hash<std::string>{}(key.kind.text()) * mixer) ^ std::hash<std::string>{}(key.name.text());
    }
};
