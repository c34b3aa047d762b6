// Which proxies enforce a customer's limit, and with which share.
#pragma once

#include "base/ids.h"
#include "customers/limitbudget.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

namespace cardamomstep::gateway {

/// The proxies that serve one customer, whether reachable or not.
struct ServingProxies {
    /// In an order that is the same on all proxies with the same registered proxies.
    std::vector<InstanceName> serving;
    /// Empty unless the customer has one serving proxy and a standby.
    InstanceName standby;
};

/// Returns the proxies that have a bucket for the limit; a customer whose buckets would be too small has them at a few serving proxies
/// only, from which the others borrow.
[[nodiscard]] inline std::vector<InstanceName>
bucketHoldersOf(const ServingProxies &proxies, const customers::RateLimit &limit, const customers::LimitTerms &terms)
{
    auto holders = proxies.serving;
    holders.resize(std::min(holders.size(), customers::bucketHolders(limit, terms, holders.size())));
    return holders;
}

/// Returns the share of \a self. The shares of all proxies with the same registered proxies sum to 1.
[[nodiscard]] inline customers::LimitShare
limitShareOf(const InstanceName &self, const ServingProxies &proxies, const customers::RateLimit &limit, const customers::LimitTerms &terms)
{
    if (!proxies.standby.empty() && proxies.standby == self) {
        return {1, true};
    }
    const auto holders = bucketHoldersOf(proxies, limit, terms);
    const bool holds = std::find(holders.begin(), holders.end(), self) != holders.end();
    return {holds ? 1.0 / static_cast<double>(holders.size()) : 0.0, false};
}

/// What the limits need to know of the placement of customers.
struct ServingSet {
    /// Returns this proxy's share.
    std::function<customers::LimitShare(const CustomerName &customer, const customers::RateLimit &limit)> shareOf;
    /// Returns the other proxies that have a share, by the address of their calls.
    std::function<std::vector<Address>(const CustomerName &customer, const customers::RateLimit &limit)> peersOf;
};

} // namespace cardamomstep::gateway
