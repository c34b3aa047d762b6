// Other owners' sightings and the replicas' progress, as evidence for or against a dead primary.
#pragma once

#include "base/ids.h"
#include "base/mark.h"
#include "base/time.h"
#include "groups/policy.h"
#include "groups/sighting.h"

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

    /// Counts peers that heard the primary of \a term or a higher one after \a since (alive) and peers that say they
    /// have not (dead). Peers without news since \a newsSince are not counted.
    [[nodiscard]] PeerVotes votes(const Term &term, TimePoint since, TimePoint newsSince) const noexcept;

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

/// Whether a primary's entries reach a majority.
class ReplicationWatch
{
public:
    /// The primary of \a term has its log at \a primaryLog and a majority holds \a covered of it.
    void onProgress(const Term &term, std::uint64_t primaryLog, std::uint64_t covered, TimePoint now) noexcept;

    /// Since when entries wait without any reaching a majority; none when all is well.
    [[nodiscard]] bool stalled(const GroupPolicy &policy, TimePoint now) const noexcept;
    [[nodiscard]] TimePoint stalledAt(const GroupPolicy &policy) const noexcept;
    /// True when entries wait.
    [[nodiscard]] bool waiting() const noexcept;

    /// A promotion for this reason began: the bound doubles until replication works again.
    void onPromotion() noexcept;
    /// No primary is known; nothing waits.
    void reset() noexcept;

private:
    [[nodiscard]] Microseconds bound(const GroupPolicy &policy) const noexcept;

    Term term_;
    std::uint64_t covered_ = 0;
    bool waiting_ = false;
    TimePoint waitingSince_;
    unsigned doublings_ = 0;
};

} // namespace cardamomstep
