// Bookkeeping of other owners' sightings.
#include "groups/impl/peerobservations.h"

#include <algorithm>

namespace cardamomstep {

void PeerObservations::onObservation(const InstanceName &peer, const PeerObservation &sighting, TimePoint now)
{
    const auto known = std::find_if(kept_.begin(), kept_.end(), [&](const Kept &kept) { return kept.peer == peer; });
    const Kept entry{peer, sighting, now, now - sighting.contactAge};
    if (known != kept_.end()) {
        *known = entry;
        return;
    }
    if (kept_.size() == maxPeers) {
        const auto oldest = std::min_element(
            kept_.begin(), kept_.end(), [](const Kept &left, const Kept &right) { return left.receivedAt < right.receivedAt; });
        kept_.erase(oldest);
    }
    kept_.push_back(entry);
}

PeerVotes PeerObservations::votes(const Term &term, TimePoint since) const noexcept
{
    PeerVotes votes;
    for (const auto &kept : kept_) {
        if (kept.observation.primary.empty() || kept.observation.term < term) {
            continue;
        }
        if (kept.lastContactAt > since) {
            ++votes.alive;
        } else if (kept.receivedAt > since) {
            ++votes.dead;
        }
    }
    return votes;
}

LogPosition PeerObservations::furthestLog(const MemberName &primary, const Term &term) const noexcept
{
    LogPosition furthest;
    for (const auto &kept : kept_) {
        if (kept.observation.primary == primary && kept.observation.term == term) {
            furthest = std::max(furthest, kept.observation.log);
        }
    }
    return furthest;
}

} // namespace cardamomstep
