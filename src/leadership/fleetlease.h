// The lease of the one proxy that may change primaries, stored in the platform's store.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "store/object.h"
#include "store/storeepochs.h"

#include <cstdint>
#include <optional>

namespace cardamomstep::leadership {

/// Settings of the lease.
struct LeaseLimits {
    /// Time after its last renewal at which the lease expires. Longer than the store outages that the service should survive.
    Milliseconds duration{7000};
    /// Time between two renewals.
    Milliseconds renewalInterval{1500};
    /// Time before the end of the lease at which the holder stops relying on it, because clocks run at different speeds.
    Milliseconds clockMargin{300};
    /// Longest random delay before a free or expired lease is taken, so that few proxies try at the same time.
    Milliseconds maxContentionDelay{250};
    /// Delay after a failed write.
    Milliseconds retryDelay{500};
};

/// The lease as stored.
struct LeaseState {
    /// Empty when the holder relinquished the lease and recorded that in the store.
    InstanceName holder;
    /// The holder's fencing token, which stands for the epoch and revision at which it took the lease; see fencingTokenOf().
    std::uint64_t fencingToken = 0;
    /// The number of renewals. The store ignores a write that changes nothing, so without it no proxy would see a renewal.
    std::uint64_t renewals = 0;
    Revision revision;
    /// The epoch of the store in which the holder wrote this version.
    StoreEpoch writtenIn;

    /// False when the store may have lost a newer version: it has come back from an older copy since this one was written.
    [[nodiscard]] bool confirmed() const noexcept
    {
        return writtenIn == revision.epoch;
    }
    [[nodiscard]] bool operator==(const LeaseState &) const = default;
};

/// Stands for the holder of a stored lease that cannot be read, because another writer has overwritten it; no instance has this name.
[[nodiscard]] const InstanceName &unknownHolder();

/// The lease as reported by the holder, or by a proxy that received the holder's report.
struct LeaseReport {
    InstanceName holder;
    std::uint64_t fencingToken = 0;
    std::uint64_t renewals = 0;
    /// Time until the lease ends unless it is renewed.
    Milliseconds remaining{0};
};

/// Identifies one write of the lease, so that a late result is not taken for that of a newer write.
struct LeaseWriteId {
    std::uint64_t value = 0;

    [[nodiscard]] auto operator<=>(const LeaseWriteId &) const = default;
};

/// Write the lease with this process as holder if the stored one is still at `expected`; 0 means that none may exist.
struct LeaseWrite {
    LeaseWriteId id;
    Revision expected;
    /// The epoch of the store to record in the lease.
    StoreEpoch epoch;
    /// The fencing token to write; 0 means the one that stands for this write's own revision.
    std::uint64_t fencingToken = 0;
    /// Different in each write.
    std::uint64_t renewals = 0;
};

/// What a successful write of the lease means to this process.
enum class LeaseWriteResult : std::uint8_t {
    Acquired, ///< This process did not hold the lease before, and does now.
    Renewed, ///< This process still holds the lease.
    Superseded, ///< Nothing: the lease was relinquished or lost, or the store changed its epoch, while the write was under way.
};

/// Returns the fencing token of a lease that was taken at \a revision; rises with epoch and number. 0 when it cannot be represented.
[[nodiscard]] std::uint64_t fencingTokenOf(Revision revision) noexcept;

/// Decides when to take, renew and relinquish the lease.
///
/// Invariant: while holds(now) is true, no other proxy can have taken the lease.
///
/// A store that comes back from an older copy may have lost a lease on which its holder still relies. That holder keeps the lease to
/// its end and writes it again; all others wait for a whole lease duration from their first sight of the new epoch, unless the stored
/// lease was written in it.
class FleetLease
{
public:
    /// \a newFleet is true when the whole fleet starts for the first time: then an absent lease was never taken.
    FleetLease(InstanceName self, std::uint64_t seed, bool newFleet = false, const LeaseLimits &limits = {})
        : self_(std::move(self))
        , limits_(limits)
        , newFleet_(newFleet)
        , random_(seed)
    {
    }

    /// Records that the store's epoch became known or rose.
    void onStoreEpoch(const StoreEpochChange &change, TimePoint now);

    /// Applies the lease as stored in \a epoch and read at \a now; nothing when none is stored.
    void onStoredLease(const std::optional<LeaseState> &state, StoreEpoch epoch, TimePoint now);

    /// Applies another proxy's report of the lease. The wait for an expired lease counts from the reported end, not from the first read.
    void onLeaseReport(const LeaseReport &report, TimePoint now);

    /// Returns this process's report of the lease at \a now.
    [[nodiscard]] LeaseReport report(TimePoint now) const;

    /// Returns the write that is due at \a now, if any; report its result by written() or writeFailed(). The next write is due after that.
    [[nodiscard]] std::optional<LeaseWrite> next(TimePoint now);

    /// Records that a write that started at \a writeStartedAt succeeded.
    LeaseWriteResult written(LeaseWriteId id, Revision revision, TimePoint writeStartedAt, TimePoint now);

    /// Records that a write failed; \a conflict when another version is stored. A held lease is then kept until it ends, but renewed only
    /// after the stored one was read: that version may be this process's own, written by a request whose reply was lost.
    void writeFailed(LeaseWriteId id, bool conflict, TimePoint now);

    /// True when the stored lease must be read before the next write.
    [[nodiscard]] bool needsRead() const noexcept
    {
        return conflicted_ || !stateRead_;
    }

    /// Relinquishes a held lease without a write to the store, so that other proxies may take it. Returns its fencing token.
    std::uint64_t relinquish(TimePoint now);

    /// Records that the holder with \a fencingToken relinquished the lease, as it reported.
    void onRelinquished(std::uint64_t fencingToken, TimePoint now);

    /// Makes this process never take or renew the lease again.
    void resign() noexcept
    {
        resigned_ = true;
        leaving_ = true;
    }

    /// True while this process is certain to hold the lease.
    [[nodiscard]] bool holds(TimePoint now) const noexcept
    {
        return held_ && now < validUntil_;
    }

    /// The time until which holds() stays true without a renewal.
    [[nodiscard]] TimePoint validUntil() const noexcept
    {
        return held_ ? validUntil_ : TimePoint{};
    }

    /// When this process took the lease.
    [[nodiscard]] TimePoint acquiredAt() const noexcept
    {
        return acquiredAt_;
    }

    /// The fencing token; valid only while the lease is held.
    [[nodiscard]] std::uint64_t fencingToken() const noexcept
    {
        return fencingToken_;
    }

    /// The last known revision of the stored lease.
    [[nodiscard]] Revision revision() const noexcept
    {
        return state_ ? state_->revision : Revision{};
    }

    /// The last known holder; empty when there is none.
    [[nodiscard]] InstanceName holder() const;

private:
    [[nodiscard]] bool storedLeaseConfirmed() const noexcept;
    [[nodiscard]] bool mayTake(TimePoint now) const;
    /// Returns a write of the lease and remembers it as pending; a \a fencingToken of 0 takes the lease.
    LeaseWrite startWrite(std::uint64_t fencingToken);

    InstanceName self_;
    LeaseLimits limits_;
    /// False once the store has changed its epoch.
    bool newFleet_;
    Random random_;
    /// The store's newest known epoch, and when it was first seen.
    StoreEpoch epoch_;
    TimePoint epochSince_;
    /// The stored lease as last read or written.
    std::optional<LeaseState> state_;
    bool stateRead_ = false;
    /// When state_ was first read or written at its revision.
    TimePoint unchangedSince_;
    /// The newest report of the lease, and the end of the lease according to it.
    LeaseReport report_;
    TimePoint reportedEnd_;
    /// Random delay before the lease is taken; drawn again for each change of the stored lease.
    Milliseconds contentionDelay_{0};
    bool held_ = false;
    /// The write whose result is not known yet.
    std::optional<LeaseWrite> pendingWrite_;
    LeaseWriteId lastWriteId_;
    bool conflicted_ = false;
    /// No lease is taken or renewed until the stored one no longer names this instance.
    bool resigned_ = false;
    /// resign() was called: resigned_ stays true.
    bool leaving_ = false;
    std::uint64_t fencingToken_ = 0;
    std::uint64_t renewals_ = 0;
    /// Fencing token of a lease that its holder reported as relinquished; 0 for none.
    std::uint64_t relinquishedToken_ = 0;
    TimePoint relinquishedAt_;
    TimePoint acquiredAt_;
    TimePoint validUntil_;
    TimePoint renewedAt_;
    TimePoint nextAttemptAt_;
};

} // namespace cardamomstep::leadership
