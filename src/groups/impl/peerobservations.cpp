// Bookkeeping of other owners' sightings.
#include "groups/impl/peerobservations.h"

#include <algorithm>

namespace cardamomstep {

void Suspicion::onSighting(const InstanceName &peer, const PeerSighting &sighting, TimePoint now)
{
    const auto known = std::find_if(kept_.begin(), kept_.end(), [&](const Kept &kept) { return kept.peer == peer; });
    const Kept entry{peer, sighting, now, now - sighting.age};
    if (known != kept_.end()) {
        *known = entry;
        return;
    }
    if (kept_.size() == keptPeers) {
        const auto oldest = std::min_element(
            kept_.begin(), kept_.end(), [](const Kept &left, const Kept &right) { return left.receivedAt < right.receivedAt; });
        kept_.erase(oldest);
    }
    kept_.push_back(entry);
}

PeerVotes Suspicion::votes(const Term &term, TimePoint since) const noexcept
{
    PeerVotes votes;
    for (const auto &kept : kept_) {
        if (kept.sighting.primary.empty() || kept.sighting.term < term) {
            continue;
        }
        if (kept.heardAt > since) {
            ++votes.alive;
        } else if (kept.receivedAt > since) {
            ++votes.dead;
        }
    }
    return votes;
}

Mark Suspicion::furthestLog(const MemberName &primary, const Term &term) const noexcept
{
    Mark furthest;
    for (const auto &kept : kept_) {
        if (kept.sighting.primary == primary && kept.sighting.term == term) {
            furthest = std::max(furthest, kept.sighting.log);
        }
    }
    return furthest;
}

} // namespace cardamomstep
