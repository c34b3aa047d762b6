// The lease of the one proxy that may order promotions, kept in the platform's store.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "store/object.h"

#include <cstdint>
#include <optional>

namespace cardamomstep::leadership {

/// Settings of the lease.
struct LeaseLimits {
    /// How long a holder that is not heard of keeps the lease; longer than the outages of the store that service should survive.
    Milliseconds duration{7000};
    /// Time between two renewals.
    Milliseconds renewal{1500};
    /// Part of the duration that the holder itself does not use, for clocks that run at different speeds.
    Milliseconds margin{300};
    /// Longest random wait before a free lease is taken, so that few proxies try at once.
    Milliseconds contention{250};
    /// Pause after an attempt without a clear answer.
    Milliseconds retryPause{500};
};

/// What the stored lease says.
struct LeaseState {
    /// Empty when the lease was given back.
    InstanceName holder;
    /// Revision at which the present holder took the lease: its fencing token.
    std::uint64_t fence = 0;
    /// Counts renewals: the store takes a write that changes nothing for none, and no proxy would see it.
    std::uint64_t renewals = 0;
    Revision revision;

    [[nodiscard]] bool operator==(const LeaseState &) const = default;
};

/// What the holder, or a proxy that asked it, says of the lease.
struct LeaseWord {
    InstanceName holder;
    std::uint64_t fence = 0;
    std::uint64_t renewals = 0;
    /// Time until the holder stops relying on it, unless it renews it.
    Milliseconds left{0};
};

/// Write the lease with this process as holder if it is still at `expected` (0: it must not exist).
struct LeaseWrite {
    Revision expected;
    /// Keep this fencing token; 0 asks for the revision of this very write.
    std::uint64_t fence = 0;
    /// Differs from write to write.
    std::uint64_t renewals = 0;
};

/// Decides when to take, renew and give back the lease.
///
/// Invariant: while holds(now) is true, no other proxy can have taken the lease.
class HolderLease
{
public:
    HolderLease(InstanceName self, std::uint64_t seed, const LeaseLimits &limits = {})
        : self_(std::move(self))
        , limits_(limits)
        , random_(seed)
    {
    }

    /// Takes in the stored lease as read at \a now, or that there is none.
    void observe(const std::optional<LeaseState> &state, TimePoint now);

    /// Takes in what another proxy said of the lease at \a now; a holder that is heard of is not waited out from the start.
    void heard(const LeaseWord &word, TimePoint now);

    /// What this process can say of the lease at \a now.
    [[nodiscard]] LeaseWord word(TimePoint now) const;

    /// The write to make at \a now, if any; report it by written() or writeFailed().
    [[nodiscard]] std::optional<LeaseWrite> next(TimePoint now);

    /// Takes in the success of a write that was begun at \a begun.
    void written(Revision revision, TimePoint begun, TimePoint now);

    /// Takes in that a write failed; \a conflict when another version is stored. A held lease is then kept until its end, but renewed
    /// only once the stored one was observed: an answer may have been lost.
    void writeFailed(bool conflict, TimePoint now);

    /// True when the stored lease must be observed before the next write.
    [[nodiscard]] bool needsObservation() const noexcept
    {
        return conflicted_ || !observed_;
    }

    /// Gives a held lease up without the store, for others to take; returns its fencing token.
    std::uint64_t yield(TimePoint now);

    /// Takes in that the holder with fencing token \a fence gave the lease up by its own word.
    void yielded(std::uint64_t fence, TimePoint now);

    /// Gives the lease up: it is not taken again by this process.
    void resign() noexcept
    {
        resigned_ = true;
        leaving_ = true;
    }

    /// True while this process holds the lease for certain.
    [[nodiscard]] bool holds(TimePoint now) const noexcept
    {
        return held_ && now < validUntil_;
    }

    /// Until when holds() stays true without a renewal.
    [[nodiscard]] TimePoint validUntil() const noexcept
    {
        return held_ ? validUntil_ : TimePoint{};
    }

    /// When this process took the lease.
    [[nodiscard]] TimePoint takenAt() const noexcept
    {
        return takenAt_;
    }

    /// The fencing token; only while the lease is held.
    [[nodiscard]] std::uint64_t fence() const noexcept
    {
        return fence_;
    }

    /// Revision of the stored lease as last known.
    [[nodiscard]] Revision revision() const noexcept
    {
        return state_ ? state_->revision : Revision{};
    }

    /// The holder as last known; empty when there is none.
    [[nodiscard]] InstanceName holder() const;

private:
    InstanceName self_;
    LeaseLimits limits_;
    Random random_;
    /// The stored lease as last seen.
    std::optional<LeaseState> state_;
    bool observed_ = false;
    /// When state_ was first seen at its revision.
    TimePoint seenSince_;
    /// The newest word of the lease, and when the lease ends by it.
    LeaseWord word_;
    TimePoint wordEnds_;
    /// Random wait before the lease is taken; drawn anew for each revision.
    Milliseconds contention_{0};
    bool held_ = false;
    bool writing_ = false;
    bool conflicted_ = false;
    /// Takes no lease until another holder was seen, or ever while leaving_.
    bool resigned_ = false;
    bool leaving_ = false;
    std::uint64_t fence_ = 0;
    std::uint64_t renewals_ = 0;
    /// Fencing token of a lease that its holder gave up by word; 0 for none.
    std::uint64_t yieldedFence_ = 0;
    TimePoint yieldedAt_;
    TimePoint takenAt_;
    TimePoint validUntil_;
    TimePoint renewedAt_;
    TimePoint pausedUntil_;
};

} // namespace cardamomstep::leadership
