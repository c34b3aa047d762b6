// Division of a member's connection limit among its holders.
#include "connections/quota.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

std::uint32_t shareOf(std::uint32_t limit, const std::vector<InstanceName> &holders, const InstanceName &self)
{
    if (std::find(holders.begin(), holders.end(), self) == holders.end()) {
        return 0;
    }
    const auto before = std::count_if(holders.begin(), holders.end(), [&](const InstanceName &holder) { return holder < self; });
    const auto count = static_cast<std::uint32_t>(holders.size());
    const auto rank = static_cast<std::uint32_t>(before);
    return limit / count + (rank < limit % count ? 1U : 0U);
}

ConnectionShare::ConnectionShare(InstanceName self, std::uint32_t limit, Milliseconds expiry)
    : self_(std::move(self))
    , limit_(limit)
    , expiry_(expiry)
{
}

void ConnectionShare::setHolders(const std::vector<InstanceName> &holders, TimePoint now)
{
    dropExpired(now);
    target_ = shareOf(limit_, holders, self_);
    for (auto &claim : claims_) {
        claim.earlier = std::max(claim.earlier, claim.part);
        claim.part = 0;
        claim.earlierUntil = now + expiry_;
    }
    for (const auto &holder : holders) {
        if (holder != self_) {
            claimOf(holder).part = shareOf(limit_, holders, holder);
        }
    }
}

void ConnectionShare::heldBy(const InstanceName &other, std::uint32_t connections, TimePoint now)
{
    dropExpired(now);
    if (other == self_) {
        return;
    }
    auto &claim = claimOf(other);
    claim.earlier = connections;
    claim.earlierUntil = now + expiry_;
}

std::uint32_t ConnectionShare::allowed(TimePoint now) const
{
    std::uint32_t claimed = 0;
    for (const auto &claim : claims_) {
        claimed += now < claim.earlierUntil ? std::max(claim.part, claim.earlier) : claim.part;
    }
    return std::min(target_, limit_ - std::min(limit_, claimed));
}

std::optional<TimePoint> ConnectionShare::nextWake(TimePoint now) const noexcept
{
    std::optional<TimePoint> first;
    for (const auto &claim : claims_) {
        if (claim.earlier > claim.part && now < claim.earlierUntil) {
            first = first ? std::min(*first, claim.earlierUntil) : claim.earlierUntil;
        }
    }
    return first;
}

ConnectionShare::Claim &ConnectionShare::claimOf(const InstanceName &holder)
{
    const auto found = std::find_if(claims_.begin(), claims_.end(), [&](const Claim &claim) { return claim.holder == holder; });
    if (found != claims_.end()) {
        return *found;
    }
    claims_.push_back(Claim{holder});
    return claims_.back();
}

void ConnectionShare::dropExpired(TimePoint now)
{
    for (auto &claim : claims_) {
        if (now >= claim.earlierUntil) {
            claim.earlier = 0;
        }
    }
    const auto gone =
        std::remove_if(claims_.begin(), claims_.end(), [](const Claim &claim) { return claim.part == 0 && claim.earlier == 0; });
    claims_.erase(gone, claims_.end());
}

} // namespace cardamomstep
