// Chooses the few proxies that serve each customer: they have its connections to members and enforce its limit.
#pragma once

#include "base/ids.h"
#include "customers/customer.h"
#include "membership/rendezvous.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cardamomstep::relay {

/// Settings of the placement of customers.
struct CustomerPlacementLimits {
    /// A proxy serves at most about this many times the mean load of a proxy for one customer.
    double maxLoadOfOneCustomer = 3;
    /// The regions of the failure domains; those that are not listed belong to one region without a name.
    std::map<FailureDomain, Region> regions;
};

/// The proxies that serve one customer.
struct CustomerServers {
    /// Best rank first within each failure domain. The pointers are valid until the placement's next change.
    std::vector<const LiveInstance *> serving;
    /// Gets the sessions while the only serving proxy of the region is unreachable; null if several proxies serve the customer.
    const LiveInstance *standby = nullptr;
};

/// This proxy's part in serving a customer.
struct CustomerShare {
    /// Its fraction of the customer's limit; for a standby, its fraction of the reserve.
    double fraction = 0;
    /// It is the standby.
    bool reserve = false;

    [[nodiscard]] bool operator==(const CustomerShare &) const = default;
};

/// The placement of all customers, as one proxy sees it.
///
/// The serving proxies depend only on the registered proxies and the configuration, so that proxies with the same view compute shares of a
/// limit whose sum is the limit. Which proxies are reachable differs from proxy to proxy; it only decides where sessions are forwarded.
class CustomerPlacement
{
public:
    using Reachable = std::function<bool(const LiveInstance &)>;

    explicit CustomerPlacement(LiveInstance self, CustomerPlacementLimits limits = {})
        : self_(std::move(self))
        , limits_(std::move(limits))
    {
    }

    /// Sets the registered proxies. Only those with an address, which accept forwarded sessions, serve customers; if none has one, every
    /// proxy serves all customers.
    void setProxies(const std::vector<LiveInstance> &proxies);

    /// Sets the customers of the configuration; none if it has none.
    void setCustomers(const std::vector<customers::Customer> &customers);

    /// Returns true if the configuration contains \a customer.
    [[nodiscard]] bool knows(const CustomerName &customer) const
    {
        return weights_.contains(customer);
    }

    /// Returns the proxies that serve \a customer; none for an unknown customer.
    ///
    /// Computed on first use and kept until the next change.
    [[nodiscard]] const CustomerServers &serversOf(const CustomerName &customer) const;

    /// Returns the proxies at which a session of \a customer belongs now: the reachable serving proxies of this proxy's failure domain,
    /// else those of its region, else the standby. Empty if none is reachable; the session is then served locally.
    ///
    /// This proxy itself always counts as reachable.
    [[nodiscard]] std::vector<const LiveInstance *> targetsOf(const CustomerName &customer, const Reachable &reachable) const;

    /// Returns the proxy that a new session is forwarded to; null if this proxy serves it.
    ///
    /// \a caller distributes the sessions over the targets.
    [[nodiscard]] const LiveInstance *targetOf(const CustomerName &customer, std::uint64_t caller, const Reachable &reachable) const;

    /// Returns this proxy's part in serving \a customer; a fraction of 0 if it has none.
    [[nodiscard]] CustomerShare shareOf(const CustomerName &customer) const;

    /// Returns true if this proxy serves \a customer or is its standby.
    [[nodiscard]] bool servesHere(const CustomerName &customer) const
    {
        return shares_.contains(customer);
    }

    /// The customers that this proxy serves or is the standby of.
    [[nodiscard]] const std::map<CustomerName, CustomerShare> &shares() const noexcept
    {
        return shares_;
    }

    /// Returns this proxy's part of the rates of all customers, from 0 to 1.
    [[nodiscard]] double partOfAllRates() const noexcept
    {
        return partOfAllRates_;
    }

    /// Returns this proxy's part of \a connections to a member that the serving proxies share, from 0 to 1.
    ///
    /// A proxy is guaranteed max(1, floor(connections x part)). With partOfAllRates() the sum over all proxies can exceed \a connections,
    /// because each proxy with a small part has a connection as well; the parts are therefore scaled down until the sum fits. Where
    /// that is impossible, or the fleet so large that computing it for each change takes too long, this is partOfAllRates().
    [[nodiscard]] double connectionShare(std::uint32_t connections) const;

    /// Returns the other serving proxies, from which this one can borrow operations of \a customer's limit; those of its region first.
    [[nodiscard]] std::vector<const LiveInstance *> peersOf(const CustomerName &customer) const;

    /// Returns how many proxies are to serve \a customer for its rate; at least 1.
    [[nodiscard]] std::uint32_t wantedServers(const CustomerName &customer) const;

private:
    /// A region with at least one candidate, and its failure domains.
    struct RegionDomains {
        Region region;
        std::vector<FailureDomain> domains;
    };

    [[nodiscard]] Region regionOf(const FailureDomain &domain) const;
    [[nodiscard]] std::uint32_t wantedServers(double weight) const;
    [[nodiscard]] std::size_t serversPerDomain(std::uint32_t wanted) const;
    [[nodiscard]] CustomerShare computeShare(const CustomerName &customer, double weight) const;
    void update();

    LiveInstance self_;
    CustomerPlacementLimits limits_;
    /// The proxies that may serve customers.
    InstanceSet candidates_;
    std::vector<FailureDomain> domains_;
    std::vector<RegionDomains> regions_;
    /// No registered proxy accepts forwarded sessions.
    bool nothingForwarded_ = false;
    std::unordered_map<CustomerName, double> weights_;
    double totalWeight_ = 0;
    std::map<CustomerName, CustomerShare> shares_;
    double partOfAllRates_ = 0;
    mutable std::unordered_map<CustomerName, CustomerServers> servers_;
};

} // namespace cardamomstep::relay
