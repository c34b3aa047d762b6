// Decides which proxy serves a session: this one, or one with a pool of connections to the group's members.
#pragma once

#include "evloop/clock.h"
#include "gateway/forwardtarget.h"
#include "gateway/servingset.h"
#include "membership/rendezvous.h"
#include "relay/customerplacement.h"
#include "relay/engine.h"
#include "relay/poolplacement.h"
#include "relay/targethealth.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// What changed for a process when the registered proxies, the customers or the reachable proxies changed.
struct PlacementChange {
    /// This proxy's new part in serving each customer for which it changed; a fraction of 0 if it serves the customer no more.
    std::map<CustomerName, relay::CustomerShare> shares;
};

/// Assigns sessions to proxies that are registered and reachable.
class SessionPlacement
{
public:
    /// \a self has an empty address when this proxy accepts no forwarded sessions; it then forwards none either.
    SessionPlacement(relay::Engine &engine, LiveInstance self)
        : engine_(engine)
        , self_(self)
        , customers_(std::move(self))
    {
    }

    /// Sets the function that is called after each change. Limits and sessions follow it.
    void onChange(std::function<void(const PlacementChange &)> changed)
    {
        changed_ = std::move(changed);
    }

    /// Sets the registered proxies as targets of forwarded sessions.
    void setProxies(std::vector<LiveInstance> proxies)
    {
        if (proxies == proxies_) {
            return;
        }
        proxies_ = std::move(proxies);
        health_.keepOnly(proxies_);
        const auto before = customers_.shares();
        customers_.setProxies(proxies_);
        recordShares(before);
        updatePlacement();
    }

    /// Applies the groups and customers of \a configuration, unless the engine did not accept it.
    void onConfigured(const relay::Configuration &configuration)
    {
        if (engine_.routes().version() == configuration.version) {
            setCustomers(configuration.customers);
        }
        updatePlacement();
    }

    /// Sets the customers of the accepted configuration; nothing if it has none. Call updatePlacement() afterwards.
    void setCustomers(const std::optional<std::vector<customers::Customer>> &customers)
    {
        hasCustomers_ = customers.has_value();
        const auto before = customers_.shares();
        const auto &listed = customers.value_or(std::vector<customers::Customer>{});
        customers_.setCustomers(listed);
        limits_.clear();
        for (const auto &customer : listed) {
            if (customer.limit) {
                limits_.emplace(customer.name, *customer.limit);
            }
        }
        recordShares(before);
    }

    /// Recomputes which proxies have pools of connections to which groups' members, and this proxy's share of the connections.
    void updatePlacement()
    {
        const auto now = evloop::bootTimeNow();
        auto targets = proxies_;
        std::erase_if(targets, [this, now](const LiveInstance &target) {
            return target.name != self_.name && !health_.reachable(target.address, now);
        });
        targets_ = InstanceSet(std::move(targets));
        const auto part = hasCustomers_ ? customers_.connectionShare(smallestConnectionCount()) : 0;
        engine_.setConnectionShare(part);
        for (const auto &[group, config] : engine_.routes().groups()) {
            if (hasCustomers_) {
                engine_.setPoolCount(group, part > 0 ? static_cast<std::uint32_t>(std::ceil(1 / part)) : 0);
                continue;
            }
            const auto placement = poolPlacementOf(config);
            const bool hasPool = !relay::forwardTo(targets_, placement, group, self_, 0);
            engine_.setPoolCount(group, hasPool ? placement.poolCount : 0);
        }
        if (changed_) {
            changed_(PlacementChange{std::exchange(changedShares_, {})});
        }
    }

    /// The proxy to forward a new session for \a database to; std::nullopt when this process serves it.
    std::optional<ForwardTarget>
    targetOf(const relay::DatabaseName &database, const customers::CallerIdentity &identity, relay::CallerKey caller)
    {
        const auto now = evloop::bootTimeNow();
        if (health_.expire(now)) {
            updatePlacement();
        }
        return peekTarget(database, identity, caller, now);
    }

    /// As targetOf(), without any change.
    [[nodiscard]] std::optional<ForwardTarget>
    peekTarget(const relay::DatabaseName &database, const customers::CallerIdentity &identity, relay::CallerKey caller, TimePoint now) const
    {
        const auto *route = engine_.routes().find(database);
        const auto *config = route == nullptr ? nullptr : engine_.routes().group(route->group);
        if (config == nullptr || engine_.draining()) {
            return std::nullopt;
        }
        if (customers_.knows(identity.customer)) {
            const auto *target =
                self_.address.empty() ? nullptr : customers_.targetOf(identity.customer, caller, reachableFor(identity.customer, now));
            return target != nullptr ? std::optional(ForwardTarget{target->address, route->statementTimeout}) : std::nullopt;
        }
        const auto target = relay::forwardTo(targets_, poolPlacementOf(*config), route->group, self_, caller);
        return target ? std::optional(ForwardTarget{target->address, route->statementTimeout}) : std::nullopt;
    }

    /// Returns the proxy that should serve an existing session, which \a servedBy serves now; nothing if the session may stay. An empty
    /// address stands for this process as the present one, and for none in particular as the result.
    ///
    /// A session of a customer stays where it is while that proxy serves the customer, even if it failed to serve another session.
    [[nodiscard]] std::optional<Address> betterProxy(const relay::DatabaseName &database,
                                                     const customers::CallerIdentity &identity,
                                                     relay::CallerKey caller,
                                                     const Address &servedBy)
    {
        if (!customers_.knows(identity.customer)) {
            const auto target = servedBy.empty() ? targetOf(database, identity, caller) : std::nullopt;
            return target ? std::optional(target->proxy) : std::nullopt;
        }
        if (engine_.draining() || self_.address.empty() || engine_.routes().find(database) == nullptr) {
            return std::nullopt;
        }
        const auto reachable = reachableFor(identity.customer, evloop::bootTimeNow());
        const auto targets = customers_.targetsOf(identity.customer,
                                                  [&](const LiveInstance &proxy) { return proxy.address == servedBy || reachable(proxy); });
        const auto serves = [&](const LiveInstance *target) {
            return servedBy.empty() ? target->name == self_.name : target->address == servedBy;
        };
        if (targets.empty() || std::any_of(targets.begin(), targets.end(), serves)) {
            return std::nullopt;
        }
        const auto *target = customers_.targetOf(identity.customer, caller, reachable);
        return target != nullptr ? target->address : self_.address;
    }

    /// As betterProxy(), for a session that is ended if there is one: sessions are not ended for a proxy that fails, except for a few
    /// attempts.
    [[nodiscard]] std::optional<Address> redirectTo(const relay::DatabaseName &database,
                                                    const customers::CallerIdentity &identity,
                                                    relay::CallerKey caller,
                                                    const Address &servedBy)
    {
        if (health_.expire(evloop::bootTimeNow())) {
            updatePlacement();
        }
        const auto better = betterProxy(database, identity, caller, servedBy);
        const bool allowed = better && (*better == self_.address || health_.mayRedirect(*better, identity.customer, evloop::bootTimeNow()));
        return allowed ? better : std::nullopt;
    }

    /// Forwards no sessions to \a proxy for a backoff.
    void onTargetFailed(const Address &proxy)
    {
        health_.onFailed(proxy, evloop::bootTimeNow());
        updatePlacement();
    }

    /// Forwards no sessions of \a customer to \a proxy for a backoff; none at all if the session had no customer.
    void onTargetRefused(const Address &proxy, const CustomerName &customer)
    {
        if (!customers_.knows(customer)) {
            onTargetFailed(proxy);
            return;
        }
        health_.onRefused(proxy, customer, evloop::bootTimeNow());
    }

    /// Records that \a proxy accepted a session; those that were served elsewhere because it had failed may move there.
    void onTargetAccepted(const Address &proxy, const CustomerName &customer)
    {
        if (health_.onAccepted(proxy, customer)) {
            updatePlacement();
        }
    }

    /// Returns the limit of \a customer over all proxies; nothing if it has none or is unknown.
    [[nodiscard]] std::optional<customers::RateLimit> limitOf(const CustomerName &customer) const
    {
        const auto found = limits_.find(customer);
        return found == limits_.end() ? std::nullopt : std::optional(found->second);
    }

    /// The placement of the customers: shares of their limits, and the peers to borrow from.
    /// Returns the proxies that serve \a customer, whether reachable or not.
    [[nodiscard]] ServingProxies servingProxies(const CustomerName &customer) const
    {
        const auto &servers = customers_.serversOf(customer);
        ServingProxies proxies;
        for (const auto *proxy : servers.serving) {
            proxies.serving.push_back(proxy->name);
        }
        if (servers.standby != nullptr && servers.serving.size() == 1) {
            proxies.standby = servers.standby->name;
        }
        return proxies;
    }

    [[nodiscard]] const relay::CustomerPlacement &customers() const noexcept
    {
        return customers_;
    }

private:
    [[nodiscard]] relay::CustomerPlacement::Reachable reachableFor(const CustomerName &customer, TimePoint now) const
    {
        return [this, &customer, now](const LiveInstance &proxy) {
            return health_.accepts(proxy.address, customer, now);
        };
    }

    /// Records the shares that differ from those \a before the change.
    void recordShares(const std::map<CustomerName, relay::CustomerShare> &before)
    {
        for (const auto &[customer, share] : before) {
            if (!customers_.servesHere(customer)) {
                changedShares_[customer] = {};
            }
        }
        for (const auto &[customer, share] : customers_.shares()) {
            const auto found = before.find(customer);
            if (found == before.end() || found->second != share) {
                changedShares_[customer] = share;
            }
        }
    }

    /// The number of connections to each member of a group that the proxies share.
    [[nodiscard]] static std::uint32_t sharedConnections(const relay::GroupConfig &config)
    {
        const auto reserve = relay::EngineLimits{}.reservedConnections;
        return config.memberConnections > reserve ? config.memberConnections - reserve : config.memberConnections;
    }

    /// The smallest of these numbers over all groups: the share of this proxy is the same for all of them.
    [[nodiscard]] std::uint32_t smallestConnectionCount() const
    {
        auto smallest = std::numeric_limits<std::uint32_t>::max();
        for (const auto &[group, config] : engine_.routes().groups()) {
            smallest = std::min(smallest, sharedConnections(config));
        }
        return smallest;
    }

    [[nodiscard]] relay::PoolPlacement poolPlacementOf(const relay::GroupConfig &config) const
    {
        auto placement = relay::placePools(targets_, sharedConnections(config));
        if (self_.address.empty()) {
            placement.poolsPerDomain = 0;
        }
        return placement;
    }

    relay::Engine &engine_;
    LiveInstance self_;
    std::vector<LiveInstance> proxies_;
    /// Proxies that sessions without a customer may be forwarded to, this one included.
    InstanceSet targets_;
    relay::CustomerPlacement customers_;
    bool hasCustomers_ = false;
    /// The limits of the customers that have one.
    std::map<CustomerName, customers::RateLimit> limits_;
    relay::TargetHealth health_;
    /// Changes of this proxy's shares that were not reported yet.
    std::map<CustomerName, relay::CustomerShare> changedShares_;
    std::function<void(const PlacementChange &)> changed_;
};

} // namespace cardamomstep::gateway
