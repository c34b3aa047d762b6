// Other owners' observations of a primary, counted as votes on whether it is alive.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"
#include "groups/peerobservation.h"

#include <cstddef>
#include <vector>

namespace cardamomstep {

/// The other owners' votes on whether a primary is alive.
struct PeerVotes {
    std::size_t alive = 0;
    std::size_t dead = 0;
};

/// The other owners' observations of a group's primary.
class PeerObservations
{
public:
    /// Records the observation of \a peer. At most `maxPeers` peers are kept; the one with the oldest observation is dropped first.
    void onObservation(const InstanceName &peer, const PeerObservation &observation, TimePoint now);

    /// Counts the peers' votes on the primary of \a term or of a higher one. A peer whose last contact is after \a since votes
    /// alive; one that reported after \a since without such a contact votes dead. Other peers are not counted.
    [[nodiscard]] PeerVotes votes(const Term &term, TimePoint since) const noexcept;

    /// The furthest log position of \a primary at \a term that a peer observed.
    [[nodiscard]] LogPosition furthestLog(const MemberName &primary, const Term &term) const noexcept;

private:
    static constexpr std::size_t maxPeers = 4;

    struct ReceivedObservation {
        InstanceName peer;
        PeerObservation value;
        TimePoint receivedAt;
        /// When the peer last had contact with the primary.
        TimePoint lastContactAt;
    };

    std::vector<ReceivedObservation> received_;
};

} // namespace cardamomstep
