// Other owners' sightings as evidence for or against a dead primary.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"
#include "groups/peerobservation.h"

#include <cstddef>
#include <vector>

namespace cardamomstep {

/// What the other owners say about a primary.
struct PeerVotes {
    std::size_t alive = 0;
    std::size_t dead = 0;
};

/// The other owners' sightings of a group's primary.
class Suspicion
{
public:
    /// Takes in what \a peer says; at most a fixed number of peers is kept, the oldest is dropped first.
    void onSighting(const InstanceName &peer, const PeerSighting &sighting, TimePoint now);

    /// Counts the peers that heard the primary of \a term, or one of a higher term, after \a since, and those that told
    /// after \a since that they have not heard it. Other peers are not counted.
    [[nodiscard]] PeerVotes votes(const Term &term, TimePoint since) const noexcept;

    /// The furthest log of \a primary at \a term that a peer saw.
    [[nodiscard]] Mark furthestLog(const MemberName &primary, const Term &term) const noexcept;

private:
    static constexpr std::size_t keptPeers = 4;

    struct Kept {
        InstanceName peer;
        PeerSighting sighting;
        TimePoint receivedAt;
        /// When the peer last heard the primary.
        TimePoint heardAt;
    };

    std::vector<Kept> kept_;
};

} // namespace cardamomstep
