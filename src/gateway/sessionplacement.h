// Decides which proxy serves a session: this one, or one with a pool of connections to the group's members.
#pragma once

#include "evloop/clock.h"
#include "gateway/forwardtarget.h"
#include "membership/rendezvous.h"
#include "relay/engine.h"
#include "relay/poolplacement.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// Assigns sessions to proxies that are registered and reachable.
class SessionPlacement
{
public:
    /// Time for which no sessions are forwarded to a proxy that failed to serve one.
    static constexpr Milliseconds failedTargetBackoff{3000};

    /// \a self has an empty address when this proxy accepts no forwarded sessions; it then forwards none either.
    SessionPlacement(relay::Engine &engine, LiveInstance self)
        : engine_(engine)
        , self_(std::move(self))
    {
    }

    /// Sets the registered proxies as targets of forwarded sessions.
    void setProxies(std::vector<LiveInstance> proxies)
    {
        proxies_ = std::move(proxies);
        updatePlacement();
    }

    /// Recomputes which proxies have pools of connections to which groups' members.
    void updatePlacement()
    {
        const auto now = evloop::bootTimeNow();
        auto targets = proxies_;
        std::erase_if(targets, [this, now](const LiveInstance &target) {
            const auto failed = failedTargets_.find(target.address);
            return target.name != self_.name && failed != failedTargets_.end() && now < failed->second;
        });
        targets_ = InstanceSet(std::move(targets));
        for (const auto &[group, config] : engine_.routes().groups()) {
            const auto placement = poolPlacementOf(config);
            const bool hasPool = !relay::forwardTo(targets_, placement, group, self_, 0);
            engine_.setPoolCount(group, hasPool ? placement.poolCount : 0);
        }
    }

    /// The proxy to forward a session for \a database to; std::nullopt when this process serves it.
    std::optional<ForwardTarget> targetOf(const relay::DatabaseName &database, relay::CallerKey caller)
    {
        const auto now = evloop::bootTimeNow();
        const auto *route = engine_.routes().find(database);
        const auto *config = route == nullptr ? nullptr : engine_.routes().group(route->group);
        if (config == nullptr || engine_.draining()) {
            return std::nullopt;
        }
        if (std::erase_if(failedTargets_, [now](const auto &failed) { return now >= failed.second; }) > 0) {
            updatePlacement();
        }
        const auto target = relay::forwardTo(targets_, poolPlacementOf(*config), route->group, self_, caller);
        return target ? std::optional(ForwardTarget{target->address, route->statementTimeout}) : std::nullopt;
    }

    /// Forwards no sessions to \a proxy for `failedTargetBackoff`.
    void onTargetFailed(const Address &proxy)
    {
        failedTargets_[proxy] = evloop::bootTimeNow() + failedTargetBackoff;
        updatePlacement();
    }

private:
    [[nodiscard]] relay::PoolPlacement poolPlacementOf(const relay::GroupConfig &config) const
    {
        const auto reserve = relay::EngineLimits{}.reservedConnections;
        const auto connections = config.memberConnections > reserve ? config.memberConnections - reserve : config.memberConnections;
        auto placement = relay::placePools(targets_, connections);
        if (self_.address.empty()) {
            placement.poolsPerDomain = 0;
        }
        return placement;
    }

    relay::Engine &engine_;
    LiveInstance self_;
    std::vector<LiveInstance> proxies_;
    /// Proxies that sessions may be forwarded to, this one included.
    InstanceSet targets_;
    /// Proxies that failed to serve a session, and until when none are forwarded to them.
    std::map<Address, TimePoint> failedTargets_;
};

} // namespace cardamomstep::gateway
