// Ranks proxies by a hash of their names.
#include "leadership/renewaltree.h"

#include "base/hash.h"

#include <algorithm>

namespace cardamomstep::leadership {

void RenewalTree::setProxies(std::vector<InstanceName> proxies)
{
    ranked_ = std::move(proxies);
    std::sort(ranked_.begin(), ranked_.end(), [](const auto &left, const auto &right) {
        return std::pair(stableHash(left.text()), left.text()) < std::pair(stableHash(right.text()), right.text());
    });
}

std::size_t RenewalTree::intermediates() const noexcept
{
    return ranked_.size() <= fanOut ? 0 : (ranked_.size() + fanOut - 1) / fanOut;
}

InstanceName RenewalTree::source(const InstanceName &self, const InstanceName &leaseHolder, std::size_t attempt) const
{
    const auto rank = static_cast<std::size_t>(std::find(ranked_.begin(), ranked_.end(), self) - ranked_.begin());
    const bool queriesHolder = rank < intermediates() || intermediates() == 0;
    if (queriesHolder && attempt % 2 == 0 && !leaseHolder.empty() && leaseHolder != self) {
        return leaseHolder;
    }
    // The intermediates; in a fleet without any, the proxies that read the store while there is no lease holder.
    const auto sources = std::min(std::max(intermediates(), storeReaders), ranked_.size());
    for (std::size_t step = 0; step < sources; ++step) {
        const auto &candidate = ranked_[(stableHash(self.text()) + attempt + step) % sources];
        if (candidate != self) {
            return candidate;
        }
    }
    return {};
}

bool RenewalTree::readsStore(const InstanceName &self) const
{
    return isAmongFirst(std::max(intermediates(), storeReaders), self);
}

bool RenewalTree::watchesCatalog(const InstanceName &self) const
{
    return isAmongFirst(catalogWatchers, self);
}

bool RenewalTree::isAmongFirst(std::size_t count, const InstanceName &self) const
{
    const auto end = ranked_.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked_.size()));
    return std::find(ranked_.begin(), end, self) != end;
}

} // namespace cardamomstep::leadership
