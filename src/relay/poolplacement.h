// Chooses the proxies that have a connection pool for a group's members, and the proxy that a caller's session is forwarded to.
#pragma once

#include "base/ids.h"
#include "membership/rendezvous.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstep::relay {

/// Settings of the placement.
struct PoolPlacementLimits {
    /// The smallest useful pool, in connections to one member: in a smaller one, an idle transaction blocks other statements.
    std::uint32_t minUsefulPoolSize = 5;
    /// With at least this many connections for two proxies, every proxy has a pool: forwarding sessions would cost more than larger pools
    /// gain.
    std::uint32_t minConnectionsPerProxyPair = 3;
};

/// The placement of the connection pools for one group's members.
struct PoolPlacement {
    /// Number of proxies with a pool in each failure domain; 0 if every proxy has one.
    std::uint32_t poolsPerDomain = 0;
    /// Total number of proxies with a pool.
    std::uint32_t poolCount = 0;
};

/// Decides how many of the live proxies have a connection pool for a group's members.
///
/// \a memberConnections is the number of connections to each member that the proxies share.
///
/// With many proxies and few connections, the fair share is one connection or less, and an idle transaction blocks all other statements
/// of its proxy. Therefore only some proxies of each failure domain have pools, which are larger, and the others forward their callers'
/// sessions to them.
[[nodiscard]] PoolPlacement placePools(const InstanceSet &live, std::uint32_t memberConnections, const PoolPlacementLimits &limits = {});

/// Returns how many connections to each member are guaranteed to a proxy whose customers have \a share of all customers' rates.
///
/// Half of \a plannedConnections is divided by rates; the other half is open to whoever has a statement waiting. Guaranteed connections
/// stay open, and with all of them guaranteed the members refused others, and counted them for seconds after the proxies lost power.
[[nodiscard]] std::uint32_t guaranteedConnections(double share, std::uint32_t plannedConnections) noexcept;

/// Returns the proxy that a session for \a group is forwarded to; nothing if \a self serves it.
///
/// \a caller distributes sessions over the proxies with a pool in the failure domain.
[[nodiscard]] std::optional<LiveInstance>
forwardTo(const InstanceSet &live, const PoolPlacement &placement, const GroupName &group, const LiveInstance &self, std::uint64_t caller);

} // namespace cardamomstep::relay
