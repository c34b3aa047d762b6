// Chooses the proxies with a pool by rendezvous hashing in each failure domain.
#include "relay/poolplacement.h"

#include <algorithm>

namespace cardamomstep::relay {

PoolPlacement placePools(const InstanceSet &live, std::uint32_t memberConnections, const PoolPlacementLimits &limits)
{
    const auto proxies = static_cast<std::uint32_t>(live.instances().size());
    const auto domains = static_cast<std::uint32_t>(live.domains().size());
    if (domains == 0 || memberConnections * 2 >= proxies * limits.minConnectionsPerProxyPair) {
        return {0, std::max<std::uint32_t>(1, proxies)};
    }
    const auto poolsPerDomain = std::max<std::uint32_t>(1, memberConnections / (domains * limits.minUsefulPoolSize));
    std::uint32_t poolCount = 0;
    for (const auto &domain : live.domains()) {
        const auto size = std::count_if(
            live.instances().begin(), live.instances().end(), [&domain](const auto &instance) { return instance.domain == domain; });
        poolCount += std::min(poolsPerDomain, static_cast<std::uint32_t>(size));
    }
    return poolCount >= proxies ? PoolPlacement{0, proxies} : PoolPlacement{poolsPerDomain, poolCount};
}

std::uint32_t guaranteedConnections(double share, std::uint32_t plannedConnections) noexcept
{
    constexpr double guaranteedPart = 0.5;
    // A share of 1/n, rounded, must not lose a connection.
    constexpr double roundingMargin = 1e-9;
    return static_cast<std::uint32_t>(share * plannedConnections * guaranteedPart + roundingMargin);
}

std::optional<LiveInstance>
forwardTo(const InstanceSet &live, const PoolPlacement &placement, const GroupName &group, const LiveInstance &self, std::uint64_t caller)
{
    if (placement.poolsPerDomain == 0) {
        return std::nullopt;
    }
    const auto chosen = live.best(group.text(), self.domain, placement.poolsPerDomain);
    const bool selfChosen =
        std::any_of(chosen.begin(), chosen.end(), [&self](const auto *instance) { return instance->name == self.name; });
    if (selfChosen || chosen.empty()) {
        return std::nullopt;
    }
    return *chosen[caller % chosen.size()];
}

} // namespace cardamomstep::relay
