// Determines from which proxy each proxy renews its primary table, so that no proxy serves too many others and little crosses regions.
#pragma once

#include "base/ids.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cardamomstep::leadership {

/// A registered proxy and where it stands.
struct ProxyLocation {
    InstanceName instance;
    FailureDomain failureDomain;
    /// Empty if the fleet stands in one region.
    Region region;
};

/// A ranking of the registered proxies that is the same on every proxy, from which each derives its source.
///
/// In a small fleet all proxies query the lease holder. In a larger one the first few of each failure domain are intermediates, at which
/// the others of the domain renew: an intermediate serves about `fanOut` others, however large the fleet. The intermediates of the lease
/// holder's region renew at the holder. In every other region the first of them, the region's head, does so, and the others renew at it.
class RenewalTree
{
public:
    /// The number of proxies that one intermediate serves, on average.
    static constexpr std::size_t fanOut = 12;
    /// The number of proxies that read the store for all while there is no lease holder.
    static constexpr std::size_t storeReaders = 3;
    /// The number of proxies, besides the lease holder, that watch the catalog with short waits on behalf of all.
    static constexpr std::size_t catalogWatchers = 2;

    /// Sets the registered proxies.
    void setProxies(std::vector<ProxyLocation> proxies);

    /// Returns the proxy that \a self queries after \a attempt consecutive attempts that granted no table; empty when there is none.
    ///
    /// The first attempts stay in the failure domain, the next ones in the region.
    [[nodiscard]] InstanceName source(const InstanceName &self, const InstanceName &leaseHolder, std::size_t attempt) const;

    /// True when \a self reads the store for others while there is no lease holder.
    [[nodiscard]] bool readsStore(const InstanceName &self) const;

    /// True when \a self watches the operators' configuration and the members with short waits, and notifies the other proxies of
    /// changes.
    [[nodiscard]] bool watchesCatalog(const InstanceName &self) const;

    /// True when \a self watches the store, with long waits, on behalf of its failure domain: the first of the domain that does not
    /// already watch by watchesCatalog().
    [[nodiscard]] bool watchesForDomain(const InstanceName &self) const;

    /// True when other proxies renew their primary tables at \a self.
    [[nodiscard]] bool servesOthers(const InstanceName &self) const;

    /// True when both are registered in different regions.
    [[nodiscard]] bool inDifferentRegions(const InstanceName &one, const InstanceName &other) const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return ranked_.size();
    }

private:
    using Ring = std::vector<InstanceName>;

    /// Rank of \a self; size() if it is not registered.
    [[nodiscard]] std::size_t rankOf(const InstanceName &self) const;
    [[nodiscard]] bool isAmongFirst(std::size_t count, const InstanceName &self) const;
    [[nodiscard]] InstanceName sourceOfIntermediate(const ProxyLocation &self, const InstanceName &leaseHolder, std::size_t attempt) const;
    [[nodiscard]] InstanceName sourceOfLeaf(const ProxyLocation &self, std::size_t attempt) const;
    /// Returns the proxy of \a ring at \a position, counted around, or the next one if that is \a self.
    [[nodiscard]] static InstanceName fromRing(const Ring &ring, std::size_t position, const InstanceName &self);

    /// Invariant: ordered by a hash of the name, the same on every proxy.
    std::vector<ProxyLocation> ranked_;
    std::unordered_map<InstanceName, std::size_t> ranks_;
    std::unordered_set<InstanceName> domainWatchers_;
    /// The intermediates in the order of their ranks: all, by region and by failure domain. Empty in a small fleet.
    Ring intermediates_;
    std::unordered_set<InstanceName> intermediateNames_;
    std::map<Region, Ring> byRegion_;
    std::map<std::pair<Region, FailureDomain>, Ring> byDomain_;
};

} // namespace cardamomstep::leadership
