// Ranks proxies by a hash of their names.
#include "leadership/renewaltree.h"

#include "base/hash.h"

#include <algorithm>

namespace cardamomstep::leadership {

void ViewTree::setProxies(std::vector<InstanceName> proxies)
{
    ranked_ = std::move(proxies);
    std::sort(ranked_.begin(), ranked_.end(), [](const auto &left, const auto &right) {
        return std::pair(stableHash(left.text()), left.text()) < std::pair(stableHash(right.text()), right.text());
    });
}

std::size_t ViewTree::relays() const noexcept
{
    return ranked_.size() <= fanOut ? 0 : (ranked_.size() + fanOut - 1) / fanOut;
}

InstanceName ViewTree::source(const InstanceName &self, const InstanceName &holder, std::size_t attempt) const
{
    const auto rank = static_cast<std::size_t>(std::find(ranked_.begin(), ranked_.end(), self) - ranked_.begin());
    const bool asksHolder = rank < relays() || relays() == 0;
    if (asksHolder && attempt % 2 == 0 && !holder.empty() && holder != self) {
        return holder;
    }
    // Relays first; where a fleet has none, those that read the store while there is no holder.
    const auto sources = std::min(std::max(relays(), storeReaders), ranked_.size());
    for (std::size_t step = 0; step < sources; ++step) {
        const auto &candidate = ranked_[(stableHash(self.text()) + attempt + step) % sources];
        if (candidate != self) {
            return candidate;
        }
    }
    return {};
}

bool ViewTree::readsStore(const InstanceName &self) const
{
    return isAmongFirst(std::max(relays(), storeReaders), self);
}

bool ViewTree::watchesCatalog(const InstanceName &self) const
{
    return isAmongFirst(catalogWatchers, self);
}

bool ViewTree::isAmongFirst(std::size_t count, const InstanceName &self) const
{
    const auto end = ranked_.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked_.size()));
    return std::find(ranked_.begin(), end, self) != end;
}

} // namespace cardamomstep::leadership
