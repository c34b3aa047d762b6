// Chooses holders of connections by rendezvous hashing in each failure domain.
#include "relay/poolplacement.h"

#include <algorithm>

namespace cardamomstep::relay {

Holders holdersFor(const InstanceSet &live, std::uint32_t memberConnections, const PlacementLimits &limits)
{
    const auto proxies = static_cast<std::uint32_t>(live.instances().size());
    const auto domains = static_cast<std::uint32_t>(live.domains().size());
    if (domains == 0 || memberConnections * 2 >= proxies * limits.enoughForTwo) {
        return {0, std::max<std::uint32_t>(1, proxies)};
    }
    const auto perDomain = std::max<std::uint32_t>(1, memberConnections / (domains * limits.goodPool));
    std::uint32_t sharers = 0;
    for (const auto &domain : live.domains()) {
        const auto size = std::count_if(
            live.instances().begin(), live.instances().end(), [&domain](const auto &instance) { return instance.domain == domain; });
        sharers += std::min(perDomain, static_cast<std::uint32_t>(size));
    }
    return sharers >= proxies ? Holders{0, proxies} : Holders{perDomain, sharers};
}

std::optional<LiveInstance>
forwardTo(const InstanceSet &live, const Holders &holders, const GroupName &group, const LiveInstance &self, std::uint64_t caller)
{
    if (holders.perDomain == 0) {
        return std::nullopt;
    }
    const auto chosen = live.best(group.text(), self.domain, holders.perDomain);
    const bool own = std::any_of(chosen.begin(), chosen.end(), [&self](const auto *instance) { return instance->name == self.name; });
    if (own || chosen.empty()) {
        return std::nullopt;
    }
    return *chosen[caller % chosen.size()];
}

} // namespace cardamomstep::relay
