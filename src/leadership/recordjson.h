// Encoding of the fleet's own objects in the store: group records, the lease and the proxies' entries.
#pragma once

#include "base/ids.h"
#include "leadership/fleetlease.h"
#include "leadership/record.h"
#include "store/object.h"

#include <optional>
#include <string>
#include <variant>

namespace cardamomstep::leadership {

/// A registered proxy.
struct ProxyEntry {
    InstanceName instance;
    /// Address for requests from other proxies.
    Address address;
    /// Address to which other proxies forward sessions; empty when it accepts none.
    Address sessions;
    FailureDomain failureDomain;
    /// Empty if the fleet stands in one region.
    Region region;

    [[nodiscard]] bool operator==(const ProxyEntry &) const = default;
};

/// The kind of the records and the proxies' entries, which every proxy watches.
[[nodiscard]] ObjectKind fleetKind();
/// The kind of the lease, separate because it changes often and few proxies need to read it.
[[nodiscard]] ObjectKind leaseKind();

[[nodiscard]] ObjectKey leaseKey();
[[nodiscard]] ObjectKey recordKey(const GroupName &group);
[[nodiscard]] ObjectKey proxyKey(const InstanceName &instance);

[[nodiscard]] std::string encode(const GroupRecord &record);
/// Returns the lease as written by \a holder in \a epoch; a \a fencingToken of 0 means that of the write itself.
[[nodiscard]] std::string encodeLease(const InstanceName &holder, std::uint64_t fencingToken, std::uint64_t renewals, StoreEpoch epoch);
[[nodiscard]] std::string encode(const ProxyEntry &entry);

/// Returns the instance whose entry \a object is by its name; nothing for other objects.
[[nodiscard]] std::optional<InstanceName> instanceOf(const StoredObject &object);

/// A decoded object of the fleet; monostate when its name is of no kind that this release knows.
using FleetObject = std::variant<std::monostate, GroupRecord, LeaseState, ProxyEntry>;

/// Decodes \a object. Another writer may have stored a value that cannot be read: a lease is then held by an unknown holder, a record is
/// not confirmed and has no primary, and a proxy has no address.
[[nodiscard]] FleetObject decodeFleetObject(const StoredObject &object);

/// Returns false if the value of the object that was decoded could not be read.
[[nodiscard]] bool isReadable(const FleetObject &decoded);

} // namespace cardamomstep::leadership
