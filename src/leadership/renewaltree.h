// Determines from which proxy each proxy renews its primary table, so that no proxy serves too many others.
#pragma once

#include "base/ids.h"

#include <cstddef>
#include <vector>

namespace cardamomstep::leadership {

/// A ranking of the registered proxies that is the same on every proxy, from which each derives its source.
///
/// In a small fleet all proxies query the lease holder. In a larger one the first few of the ranking query the holder and the others query
/// those: an intermediate serves about `fanOut` others, however large the fleet.
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
    void setProxies(std::vector<InstanceName> proxies);

    /// Returns the proxy that \a self queries after \a attempt consecutive attempts that granted no table; empty when there is none.
    [[nodiscard]] InstanceName source(const InstanceName &self, const InstanceName &leaseHolder, std::size_t attempt) const;

    /// True when \a self reads the store for others while there is no lease holder.
    [[nodiscard]] bool readsStore(const InstanceName &self) const;

    /// True when \a self watches the operators' configuration and the members with short waits, and notifies the other proxies of
    /// changes.
    [[nodiscard]] bool watchesCatalog(const InstanceName &self) const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return ranked_.size();
    }

private:
    [[nodiscard]] std::size_t intermediates() const noexcept;
    [[nodiscard]] bool isAmongFirst(std::size_t count, const InstanceName &self) const;

    /// Invariant: ordered by a hash of the name, the same on every proxy.
    std::vector<InstanceName> ranked_;
};

} // namespace cardamomstep::leadership
