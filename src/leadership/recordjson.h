// The fleet's own objects in the store: group records, the lease and the proxies' entries.
#pragma once

#include "base/ids.h"
#include "leadership/fleetlease.h"
#include "leadership/record.h"
#include "store/object.h"

#include <optional>
#include <string>
#include <variant>

namespace cardamomstep::leadership {

/// A proxy as it registered itself.
struct ProxyEntry {
    InstanceName instance;
    /// Where other proxies reach it.
    Address address;
    /// Where other proxies pass sessions on to it; empty when it takes none.
    Address sessions;
    FailureDomain failureDomain;

    [[nodiscard]] bool operator==(const ProxyEntry &) const = default;
};

/// Kind of the records and the proxies' entries, which every proxy watches.
[[nodiscard]] ObjectKind fleetKind();
/// Kind of the lease alone: it changes often and few proxies need to read it.
[[nodiscard]] ObjectKind leaseKind();

[[nodiscard]] ObjectKey leaseKey();
[[nodiscard]] ObjectKey recordKey(const GroupName &group);
[[nodiscard]] ObjectKey proxyKey(const InstanceName &instance);

[[nodiscard]] std::string encode(const GroupRecord &record);
/// The lease as written by \a holder; \a fence 0 stands for the revision of the write itself.
[[nodiscard]] std::string encodeLease(const InstanceName &holder, std::uint64_t fence, std::uint64_t renewals);
[[nodiscard]] std::string encode(const ProxyEntry &entry);

/// What one object of the fleet says; monostate when it cannot be read.
using FleetObject = std::variant<std::monostate, GroupRecord, LeaseState, ProxyEntry>;
[[nodiscard]] FleetObject decodeFleetObject(const StoredObject &object);

} // namespace cardamomstep::leadership
