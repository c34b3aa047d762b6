// Whom a proxy asks for its view of the primaries, so that no proxy answers many.
#pragma once

#include "base/ids.h"

#include <cstddef>
#include <vector>

namespace cardamomstep::leadership {

/// The order of the live proxies from which everyone derives the same sources.
///
/// In a small fleet all ask the lease holder. In a larger one the first few of the order ask the holder, and the others ask them: a proxy
/// answers about `fanOut` others, however large the fleet.
class ViewTree
{
public:
    /// Proxies that one proxy answers.
    static constexpr std::size_t fanOut = 12;
    /// Proxies that read the store for all while there is no holder.
    static constexpr std::size_t storeReaders = 3;
    /// Proxies that watch the catalog closely, besides the holder.
    static constexpr std::size_t catalogWatchers = 2;

    /// Sets the registered proxies.
    void setProxies(std::vector<InstanceName> proxies);

    /// Whom \a self asks at its \a attempt in a row, 0 being the first; empty when there is nobody.
    [[nodiscard]] InstanceName source(const InstanceName &self, const InstanceName &holder, std::size_t attempt) const;

    /// True when \a self reads the store for others while there is no holder.
    [[nodiscard]] bool readsStore(const InstanceName &self) const;

    /// True when \a self watches the operators' configuration and the members closely for others, which it tells of news.
    [[nodiscard]] bool watchesCatalog(const InstanceName &self) const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return ranked_.size();
    }

private:
    [[nodiscard]] std::size_t relays() const noexcept;
    [[nodiscard]] bool isAmongFirst(std::size_t count, const InstanceName &self) const;

    /// Invariant: ordered by a hash of the name, the same on every proxy.
    std::vector<InstanceName> ranked_;
};

} // namespace cardamomstep::leadership
