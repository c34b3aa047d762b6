// Which proxy serves a session: this one, or one that holds more of the group's connections.
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

/// Places sessions on the proxies that are registered and can be reached.
class SessionPlacement
{
public:
    /// A proxy that could not be reached gets no sessions for this long.
    static constexpr Milliseconds targetPause{3000};

    /// \a self has no address where this proxy takes no sessions of others.
    SessionPlacement(relay::Engine &engine, LiveInstance self)
        : engine_(engine)
        , self_(std::move(self))
    {
    }

    /// Takes in the registered proxies that take sessions of others.
    void setProxies(std::vector<LiveInstance> proxies)
    {
        proxies_ = std::move(proxies);
        place();
    }

    /// Works out anew which proxies hold connections to which members.
    void place()
    {
        const auto now = evloop::bootTimeNow();
        auto targets = proxies_;
        std::erase_if(targets, [this, now](const LiveInstance &target) {
            const auto failed = failedTargets_.find(target.address);
            return target.name != self_.name && failed != failedTargets_.end() && now < failed->second;
        });
        targets_ = InstanceSet(std::move(targets));
        for (const auto &[group, config] : engine_.routes().groups()) {
            const auto holders = holdersOf(config);
            const bool holds = !relay::forwardTo(targets_, holders, group, self_, 0);
            engine_.setSharers(group, holds ? holders.sharers : 0);
        }
    }

    /// Where a session for \a database is passed on to, if it is.
    std::optional<ForwardTarget> targetOf(const relay::DatabaseName &database, relay::CallerKey caller)
    {
        const auto now = evloop::bootTimeNow();
        const auto *route = engine_.routes().find(database);
        const auto *config = route == nullptr ? nullptr : engine_.routes().group(route->group);
        if (config == nullptr || engine_.draining()) {
            return std::nullopt;
        }
        if (std::erase_if(failedTargets_, [now](const auto &failed) { return now >= failed.second; }) > 0) {
            place();
        }
        const auto target = relay::forwardTo(targets_, holdersOf(*config), route->group, self_, caller);
        return target ? std::optional(ForwardTarget{target->address, route->statementTimeout}) : std::nullopt;
    }

    void failed(const Address &proxy)
    {
        failedTargets_[proxy] = evloop::bootTimeNow() + targetPause;
        place();
    }

private:
    [[nodiscard]] relay::Holders holdersOf(const relay::GroupConfig &config) const
    {
        const auto reserve = relay::EngineLimits{}.reservedConnections;
        const auto connections = config.memberConnections > reserve ? config.memberConnections - reserve : config.memberConnections;
        auto holders = relay::holdersFor(targets_, connections);
        if (self_.address.empty()) {
            holders.perDomain = 0;
        }
        return holders;
    }

    relay::Engine &engine_;
    LiveInstance self_;
    std::vector<LiveInstance> proxies_;
    /// Proxies that sessions may be passed on to, this one included.
    InstanceSet targets_;
    /// Proxies that could not be reached, and until when they get no sessions.
    std::map<Address, TimePoint> failedTargets_;
};

} // namespace cardamomstep::gateway
