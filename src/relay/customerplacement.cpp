// Places customers by rendezvous hashing of their names.
#include "relay/customerplacement.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace cardamomstep::relay {

namespace {

/// Returns the rate that a customer's limit allows; nothing without a limit.
std::optional<double> rateOf(const customers::Customer &customer)
{
    if (!customer.limit) {
        return std::nullopt;
    }
    const auto rate = customer.limit->perSecond;
    return std::isfinite(rate) && rate > 0 ? rate : 0;
}

/// The largest number of customers times proxies for which connectionShare() ranks all customers, which takes some milliseconds.
constexpr std::size_t maxRankedPairs = 1'000'000;

/// Returns the sum of the connections that are guaranteed to proxies with \a parts, scaled by \a scale.
double guaranteedConnections(const std::unordered_map<InstanceName, double> &parts, double connections, double scale)
{
    double sum = 0;
    for (const auto &[proxy, part] : parts) {
        sum += std::max(1.0, std::floor(connections * part * scale));
    }
    return sum;
}

} // namespace

void CustomerPlacement::setProxies(const std::vector<LiveInstance> &proxies)
{
    std::vector<LiveInstance> candidates;
    std::copy_if(proxies.begin(), proxies.end(), std::back_inserter(candidates), [](const auto &proxy) { return !proxy.address.empty(); });
    nothingForwarded_ = candidates.empty();
    if (nothingForwarded_) {
        candidates = proxies;
    }
    candidates_ = InstanceSet(std::move(candidates));
    domains_ = candidates_.domains();
    regions_.clear();
    for (const auto &domain : domains_) {
        const auto region = regionOf(domain);
        auto found = std::find_if(regions_.begin(), regions_.end(), [&region](const auto &other) { return other.region == region; });
        if (found == regions_.end()) {
            found = regions_.insert(found, {region, {}});
        }
        found->domains.push_back(domain);
    }
    update();
}

void CustomerPlacement::setCustomers(const std::vector<customers::Customer> &customers)
{
    double limited = 0;
    std::size_t limitedCount = 0;
    for (const auto &customer : customers) {
        if (const auto rate = rateOf(customer)) {
            limited += *rate;
            ++limitedCount;
        }
    }
    const auto meanRate = limitedCount == 0 ? 1.0 : limited / static_cast<double>(limitedCount);
    weights_.clear();
    totalWeight_ = 0;
    for (const auto &customer : customers) {
        const auto weight = rateOf(customer).value_or(meanRate);
        if (weights_.emplace(customer.name, weight).second) {
            totalWeight_ += weight;
        }
    }
    update();
}

const CustomerServers &CustomerPlacement::serversOf(const CustomerName &customer) const
{
    static const CustomerServers none;
    const auto weight = weights_.find(customer);
    if (weight == weights_.end()) {
        return none;
    }
    const auto [entry, isNew] = servers_.try_emplace(customer);
    auto &servers = entry->second;
    if (!isNew) {
        return servers;
    }
    const auto wanted = wantedServers(weight->second);
    if (nothingForwarded_ || wanted >= 2 || domains_.size() > 1) {
        const auto perDomain = nothingForwarded_ ? candidates_.instances().size() : serversPerDomain(wanted);
        for (const auto &domain : domains_) {
            const auto chosen = candidates_.best(customer.text(), domain, perDomain);
            servers.serving.insert(servers.serving.end(), chosen.begin(), chosen.end());
        }
        return servers;
    }
    const auto ownRegion = regionOf(self_.domain);
    for (const auto &region : regions_) {
        const auto chosen = candidates_.best(customer.text(), region.domains, 2);
        servers.serving.push_back(chosen.front());
        if (region.region == ownRegion && chosen.size() > 1) {
            servers.standby = chosen.back();
        }
    }
    return servers;
}

std::vector<const LiveInstance *> CustomerPlacement::targetsOf(const CustomerName &customer, const Reachable &reachable) const
{
    const auto &servers = serversOf(customer);
    const auto usable = [&](const LiveInstance &proxy) {
        return proxy.name == self_.name || (!proxy.address.empty() && reachable(proxy));
    };
    std::vector<const LiveInstance *> targets;
    std::copy_if(servers.serving.begin(), servers.serving.end(), std::back_inserter(targets), [&](const auto *proxy) {
        return proxy->domain == self_.domain && usable(*proxy);
    });
    if (targets.empty()) {
        const auto ownRegion = regionOf(self_.domain);
        std::copy_if(servers.serving.begin(), servers.serving.end(), std::back_inserter(targets), [&](const auto *proxy) {
            return regionOf(proxy->domain) == ownRegion && usable(*proxy);
        });
    }
    if (targets.empty() && servers.standby != nullptr && usable(*servers.standby)) {
        targets.push_back(servers.standby);
    }
    return targets;
}

const LiveInstance *CustomerPlacement::targetOf(const CustomerName &customer, std::uint64_t caller, const Reachable &reachable) const
{
    const auto targets = targetsOf(customer, reachable);
    const bool servedHere = std::any_of(targets.begin(), targets.end(), [this](const auto *target) { return target->name == self_.name; });
    if (targets.empty() || servedHere) {
        return nullptr;
    }
    // The proxies number their connections alike, so each begins with another target.
    return targets[(caller + stableHash(self_.name.text())) % targets.size()];
}

CustomerShare CustomerPlacement::shareOf(const CustomerName &customer) const
{
    const auto found = shares_.find(customer);
    return found == shares_.end() ? CustomerShare{} : found->second;
}

double CustomerPlacement::connectionShare(std::uint32_t connections) const
{
    if (weights_.size() * candidates_.instances().size() > maxRankedPairs || totalWeight_ <= 0) {
        return partOfAllRates_;
    }
    std::unordered_map<InstanceName, double> parts;
    for (const auto &[customer, weight] : weights_) {
        const auto &serving = serversOf(customer).serving;
        for (const auto *proxy : serving) {
            parts[proxy->name] += weight / totalWeight_ / static_cast<double>(serving.size());
        }
    }
    const auto available = static_cast<double>(connections);
    if (static_cast<double>(parts.size()) > available || guaranteedConnections(parts, available, 1) <= available) {
        return partOfAllRates_;
    }
    double fits = 0;
    double exceeds = 1;
    constexpr int bisections = 20;
    for (int step = 0; step < bisections; ++step) {
        const auto middle = (fits + exceeds) / 2;
        (guaranteedConnections(parts, available, middle) <= available ? fits : exceeds) = middle;
    }
    return partOfAllRates_ * fits;
}

std::vector<const LiveInstance *> CustomerPlacement::peersOf(const CustomerName &customer) const
{
    auto peers = serversOf(customer).serving;
    std::erase_if(peers, [this](const auto *peer) { return peer->name == self_.name; });
    const auto ownRegion = regionOf(self_.domain);
    std::stable_partition(peers.begin(), peers.end(), [&](const auto *peer) { return regionOf(peer->domain) == ownRegion; });
    return peers;
}

std::uint32_t CustomerPlacement::wantedServers(const CustomerName &customer) const
{
    const auto weight = weights_.find(customer);
    return weight == weights_.end() ? 1 : wantedServers(weight->second);
}

Region CustomerPlacement::regionOf(const FailureDomain &domain) const
{
    const auto found = limits_.regions.find(domain);
    return found == limits_.regions.end() ? Region{} : found->second;
}

std::uint32_t CustomerPlacement::wantedServers(double weight) const
{
    if (totalWeight_ <= 0) {
        return 1;
    }
    const auto proxies = static_cast<double>(candidates_.instances().size());
    const auto wanted = std::ceil(weight / totalWeight_ * proxies / limits_.maxLoadOfOneCustomer);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(wanted));
}

std::size_t CustomerPlacement::serversPerDomain(std::uint32_t wanted) const
{
    const auto domainCount = std::max<std::size_t>(1, domains_.size());
    return (wanted + domainCount - 1) / domainCount;
}

/// Computes this proxy's part without the whole ranking: most proxies that do not serve the customer are rejected after few comparisons.
CustomerShare CustomerPlacement::computeShare(const CustomerName &customer, double weight) const
{
    const auto wanted = wantedServers(weight);
    if (nothingForwarded_) {
        return {1.0 / static_cast<double>(candidates_.instances().size()), false};
    }
    if (wanted >= 2 || domains_.size() > 1) {
        const auto perDomain = serversPerDomain(wanted);
        if (candidates_.outscoredBy(customer.text(), {self_.domain}, self_.name, perDomain) >= perDomain) {
            return {};
        }
        std::size_t serving = 0;
        for (const auto &domain : domains_) {
            serving += std::min(perDomain, candidates_.sizeOf(domain));
        }
        return {1.0 / static_cast<double>(serving), false};
    }
    const auto ownRegion = regionOf(self_.domain);
    const auto region = std::find_if(regions_.begin(), regions_.end(), [&](const auto &other) { return other.region == ownRegion; });
    if (region == regions_.end()) {
        return {};
    }
    const auto rank = candidates_.outscoredBy(customer.text(), region->domains, self_.name, 2);
    const auto fraction = 1.0 / static_cast<double>(regions_.size());
    return rank >= 2 ? CustomerShare{} : CustomerShare{fraction, rank == 1};
}

void CustomerPlacement::update()
{
    servers_.clear();
    shares_.clear();
    partOfAllRates_ = 0;
    if (candidates_.find(self_.name) == nullptr) {
        return;
    }
    for (const auto &[customer, weight] : weights_) {
        const auto share = computeShare(customer, weight);
        if (share.fraction <= 0) {
            continue;
        }
        shares_.emplace(customer, share);
        if (!share.reserve && totalWeight_ > 0) {
            partOfAllRates_ += weight / totalWeight_ * share.fraction;
        }
    }
}

} // namespace cardamomstep::relay
