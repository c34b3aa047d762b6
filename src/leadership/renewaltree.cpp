// Ranks proxies by a hash of their names.
#include "leadership/renewaltree.h"

#include "base/hash.h"

#include <algorithm>
#include <set>

namespace cardamomstep::leadership {

void RenewalTree::setProxies(std::vector<ProxyLocation> proxies)
{
    ranked_ = std::move(proxies);
    std::sort(ranked_.begin(), ranked_.end(), [](const auto &left, const auto &right) {
        return std::pair(stableHash(left.instance.text()), left.instance.text())
            < std::pair(stableHash(right.instance.text()), right.instance.text());
    });
    ranks_.clear();
    domainWatchers_.clear();
    intermediates_.clear();
    intermediateNames_.clear();
    byRegion_.clear();
    byDomain_.clear();
    std::map<std::pair<Region, FailureDomain>, std::size_t> sizes;
    std::set<FailureDomain> watchedDomains;
    for (std::size_t rank = 0; rank < ranked_.size(); ++rank) {
        const auto &proxy = ranked_[rank];
        ranks_[proxy.instance] = rank;
        ++sizes[{proxy.region, proxy.failureDomain}];
        if (rank >= catalogWatchers && watchedDomains.insert(proxy.failureDomain).second) {
            domainWatchers_.insert(proxy.instance);
        }
    }
    if (ranked_.size() <= fanOut) {
        return;
    }
    for (const auto &proxy : ranked_) {
        const std::pair domain{proxy.region, proxy.failureDomain};
        auto &ring = byDomain_[domain];
        if (ring.size() < (sizes[domain] + fanOut - 1) / fanOut) {
            ring.push_back(proxy.instance);
            byRegion_[proxy.region].push_back(proxy.instance);
            intermediates_.push_back(proxy.instance);
            intermediateNames_.insert(proxy.instance);
        }
    }
}

std::size_t RenewalTree::rankOf(const InstanceName &self) const
{
    const auto found = ranks_.find(self);
    return found == ranks_.end() ? ranked_.size() : found->second;
}

InstanceName RenewalTree::fromRing(const Ring &ring, std::size_t position, const InstanceName &self)
{
    for (std::size_t step = 0; step < std::min<std::size_t>(ring.size(), 2); ++step) {
        const auto &candidate = ring[(position + step) % ring.size()];
        if (candidate != self) {
            return candidate;
        }
    }
    return {};
}

InstanceName RenewalTree::source(const InstanceName &self, const InstanceName &leaseHolder, std::size_t attempt) const
{
    const auto rank = rankOf(self);
    if (intermediates_.empty() || rank == ranked_.size()) {
        const bool queriesHolder = intermediates_.empty() && attempt % 2 == 0;
        if (queriesHolder && !leaseHolder.empty() && leaseHolder != self) {
            return leaseHolder;
        }
        // In a small fleet, the proxies that read the store while there is no lease holder.
        Ring sources = intermediates_;
        for (std::size_t index = 0; sources.size() < std::min(storeReaders, ranked_.size()); ++index) {
            sources.push_back(ranked_[index].instance);
        }
        return fromRing(sources, stableHash(self.text()) % std::max<std::size_t>(sources.size(), 1) + attempt, self);
    }
    return servesOthers(self) ? sourceOfIntermediate(ranked_[rank], leaseHolder, attempt) : sourceOfLeaf(ranked_[rank], attempt);
}

InstanceName RenewalTree::sourceOfIntermediate(const ProxyLocation &self, const InstanceName &leaseHolder, std::size_t attempt) const
{
    const auto &ring = byRegion_.at(self.region);
    const bool holderKnown = !leaseHolder.empty() && leaseHolder != self.instance;
    const bool throughHead = holderKnown && inDifferentRegions(self.instance, leaseHolder) && ring.front() != self.instance;
    if (throughHead && attempt == 0) {
        return ring.front();
    }
    // Behind the head, the holder is the second choice; afterwards it alternates with the other intermediates.
    const auto further = throughHead ? attempt - 1 : attempt;
    if (holderKnown && further % 2 == 0) {
        return leaseHolder;
    }
    const auto position = stableHash(self.instance.text()) % intermediates_.size() + further;
    const bool inRegion = ring.size() > 1 && further % 4 != 3;
    return fromRing(inRegion ? ring : intermediates_, position, self.instance);
}

InstanceName RenewalTree::sourceOfLeaf(const ProxyLocation &self, std::size_t attempt) const
{
    // Tries within the failure domain, and then within the region, before others.
    constexpr std::size_t tries = 2;
    const auto &domain = byDomain_.at({self.region, self.failureDomain});
    const auto &region = byRegion_.at(self.region);
    const auto &ring = attempt < std::min(tries, domain.size()) ? domain : (attempt < 2 * tries ? region : intermediates_);
    return fromRing(ring, stableHash(self.instance.text()) % ring.size() + attempt, self.instance);
}

bool RenewalTree::readsStore(const InstanceName &self) const
{
    return servesOthers(self) || isAmongFirst(storeReaders, self);
}

bool RenewalTree::watchesCatalog(const InstanceName &self) const
{
    return isAmongFirst(catalogWatchers, self);
}

bool RenewalTree::watchesForDomain(const InstanceName &self) const
{
    return domainWatchers_.contains(self);
}

bool RenewalTree::servesOthers(const InstanceName &self) const
{
    return intermediateNames_.contains(self);
}

bool RenewalTree::inDifferentRegions(const InstanceName &one, const InstanceName &other) const
{
    const auto first = rankOf(one);
    const auto second = rankOf(other);
    return first < ranked_.size() && second < ranked_.size() && ranked_[first].region != ranked_[second].region;
}

bool RenewalTree::isAmongFirst(std::size_t count, const InstanceName &self) const
{
    return rankOf(self) < std::min(count, ranked_.size());
}

} // namespace cardamomstep::leadership
