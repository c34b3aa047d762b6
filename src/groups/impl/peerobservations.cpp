// Keeps other owners' last observations and counts their votes.
#include "groups/impl/peerobservations.h"

#include <algorithm>

namespace cardamomstep {

void PeerObservations::onObservation(const InstanceName &peer, const PeerObservation &observation, TimePoint now)
{
    const auto known =
        std::find_if(received_.begin(), received_.end(), [&](const ReceivedObservation &received) { return received.peer == peer; });
    const ReceivedObservation entry{peer, observation, now, now - observation.contactAge};
    if (known != received_.end()) {
        *known = entry;
        return;
    }
    if (received_.size() == maxPeers) {
        const auto oldest =
            std::min_element(received_.begin(), received_.end(), [](const ReceivedObservation &left, const ReceivedObservation &right) {
                return left.receivedAt < right.receivedAt;
            });
        received_.erase(oldest);
    }
    received_.push_back(entry);
}

PeerVotes PeerObservations::votes(const Term &term, TimePoint since) const noexcept
{
    PeerVotes votes;
    for (const auto &received : received_) {
        if (received.value.primary.empty() || received.value.term < term) {
            continue;
        }
        if (received.lastContactAt > since) {
            ++votes.alive;
        } else if (received.receivedAt > since) {
            ++votes.dead;
        }
    }
    return votes;
}

LogPosition PeerObservations::furthestLog(const MemberName &primary, const Term &term) const noexcept
{
    LogPosition furthest;
    for (const auto &received : received_) {
        if (received.value.primary == primary && received.value.term == term) {
            furthest = std::max(furthest, received.value.log);
        }
    }
    return furthest;
}

} // namespace cardamomstep
