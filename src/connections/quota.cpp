// Division of a member's connection limit among the owners of its group.
#include "connections/quota.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

std::uint32_t quotaOf(std::uint32_t limit, const std::vector<InstanceName> &owners, const InstanceName &self)
{
    if (std::find(owners.begin(), owners.end(), self) == owners.end()) {
        return 0;
    }
    const auto before = std::count_if(owners.begin(), owners.end(), [&](const InstanceName &owner) { return owner < self; });
    const auto count = static_cast<std::uint32_t>(owners.size());
    const auto rank = static_cast<std::uint32_t>(before);
    return limit / count + (rank < limit % count ? 1U : 0U);
}

ConnectionQuota::ConnectionQuota(InstanceName self, std::uint32_t limit, Milliseconds expiry)
    : self_(std::move(self))
    , limit_(limit)
    , expiry_(expiry)
{
}

void ConnectionQuota::setOwners(const std::vector<InstanceName> &owners, TimePoint now)
{
    dropExpired(now);
    quota_ = quotaOf(limit_, owners, self_);
    for (auto &claim : claims_) {
        claim.earlierAllocation = std::max(claim.earlierAllocation, claim.quota);
        claim.quota = 0;
        claim.earlierExpiresAt = now + expiry_;
    }
    for (const auto &owner : owners) {
        if (owner != self_) {
            claimOf(owner).quota = quotaOf(limit_, owners, owner);
        }
    }
}

void ConnectionQuota::onPeerAllocation(const InstanceName &other, std::uint32_t connections, TimePoint now)
{
    dropExpired(now);
    if (other == self_) {
        return;
    }
    auto &claim = claimOf(other);
    claim.earlierAllocation = connections;
    claim.earlierExpiresAt = now + expiry_;
}

std::uint32_t ConnectionQuota::allowed(TimePoint now) const
{
    std::uint32_t claimed = 0;
    for (const auto &claim : claims_) {
        claimed += now < claim.earlierExpiresAt ? std::max(claim.quota, claim.earlierAllocation) : claim.quota;
    }
    return std::min(quota_, limit_ - std::min(limit_, claimed));
}

std::optional<TimePoint> ConnectionQuota::nextWake(TimePoint now) const noexcept
{
    std::optional<TimePoint> first;
    for (const auto &claim : claims_) {
        if (claim.earlierAllocation > claim.quota && now < claim.earlierExpiresAt) {
            first = first ? std::min(*first, claim.earlierExpiresAt) : claim.earlierExpiresAt;
        }
    }
    return first;
}

ConnectionQuota::Claim &ConnectionQuota::claimOf(const InstanceName &owner)
{
    const auto found = std::find_if(claims_.begin(), claims_.end(), [&](const Claim &claim) { return claim.owner == owner; });
    if (found != claims_.end()) {
        return *found;
    }
    claims_.push_back(Claim{owner});
    return claims_.back();
}

void ConnectionQuota::dropExpired(TimePoint now)
{
    for (auto &claim : claims_) {
        if (now >= claim.earlierExpiresAt) {
            claim.earlierAllocation = 0;
        }
    }
    const auto removed =
        std::remove_if(claims_.begin(), claims_.end(), [](const Claim &claim) { return claim.quota == 0 && claim.earlierAllocation == 0; });
    claims_.erase(removed, claims_.end());
}

} // namespace cardamomstep
