// Which proxies hold connections to a group's members, and to whom a caller's session is passed on.
#pragma once

#include "base/ids.h"
#include "membership/rendezvous.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstep::relay {

/// Settings of the placement.
struct PlacementLimits {
    /// Connections to one member that make a pool worth having: with fewer, one transaction blocks its neighbours.
    std::uint32_t goodPool = 5;
    /// With at least this many connections for two proxies, all hold their own: passing sessions on costs more than it evens out.
    std::uint32_t enoughForTwo = 3;
};

/// Who holds connections to one group's members.
struct Holders {
    /// Proxies of each failure domain that hold connections; 0 when all do.
    std::uint32_t perDomain = 0;
    /// Proxies that share the connections.
    std::uint32_t sharers = 0;
};

/// Decides who of the live proxies holds connections to a group's members.
///
/// With many proxies and few connections, a fair share is a connection or less, and a transaction that rests blocks all others of its
/// proxy. Some proxies of each failure domain then hold larger pools, and the others pass their callers' sessions on to them.
[[nodiscard]] Holders holdersFor(const InstanceSet &live, std::uint32_t memberConnections, const PlacementLimits &limits = {});

/// The proxy that a session for \a group is passed on to; nothing when \a self serves it.
///
/// \a caller spreads sessions over the holders of the failure domain.
[[nodiscard]] std::optional<LiveInstance>
forwardTo(const InstanceSet &live, const Holders &holders, const GroupName &group, const LiveInstance &self, std::uint64_t caller);

} // namespace cardamomstep::relay
