// Admission to a database group: which requests run now, which wait, and which are refused at once with a retry-after.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "connections/smoothedtime.h"
#include "requests/fwd.h"

#include <array>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace cardamomstep {

/// Which slots a request needs.
enum class Lane : std::uint8_t {
    Primary, ///< Slots of the primary: writes, and reads that no replica can serve.
    Replica, ///< Slots of all replicas together.
};

/// Number of lanes.
inline constexpr std::size_t laneCount = 2;

/// A request that wants a slot.
struct AdmissionRequest {
    /// Identifies the request; unique while the request is waiting or running.
    std::uint64_t ticket = 0;
    Lane lane = Lane::Primary;
    ServiceName service;
    /// The time by which the answer must have left this process.
    TimePoint deadline;
};

/// The request has a slot; finished() must be called for it.
struct Admitted {
    std::uint64_t ticket = 0;

    [[nodiscard]] bool operator==(const Admitted &) const = default;
};

/// The request did not run and left the queue.
struct Refused {
    std::uint64_t ticket = 0;
    /// ErrorKind::Overloaded with a retry-after.
    Error error;

    [[nodiscard]] bool operator==(const Refused &) const = default;
};

/// The result of a request for a slot.
using AdmissionAction = std::variant<Admitted, Refused>;

/// The share of each lane that a service is guaranteed.
struct ServiceShare {
    ServiceName service;
    /// Fraction of the lane's slots, from 0 to 1; other services use what the service leaves unused.
    double guaranteed = 0;
};

/// Settings of an admission queue.
struct AdmissionLimits {
    /// The maximum number of requests that wait in one lane.
    std::uint32_t maxWaiting = 64;
    /// Estimated time of one request in a slot until the first measurement.
    Microseconds initialServiceTime{5'000};
    /// Bounds of the retry-after of a refusal.
    Milliseconds minRetryAfter{10};
    Milliseconds maxRetryAfter{5'000};
    /// The maximum slot time that a service may save up, or overdraw, against its share.
    Microseconds maxShareCredit{200'000};
};

/// Slots and the short queue in front of them, for one database group.
///
/// Requests wait in order of deadline. A request is refused as soon as it cannot finish within its window: on arrival, when the requests
/// ahead of it take too long or when it would make one that was accepted before miss its deadline, and later when the estimate grows.
/// Services below their guaranteed share go first; other services use what they leave.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(const AdmissionLimits &limits = {});

    /// Sets how many requests of \a lane may run at once. When the number is lowered, running requests are not interrupted.
    [[nodiscard]] std::vector<AdmissionAction> setSlots(Lane lane, std::uint32_t slots, TimePoint now);

    /// Sets the guaranteed shares; services not listed have none. The shares should add up to at most 1.
    void setShares(const std::vector<ServiceShare> &shares);

    /// Adds a new request.
    [[nodiscard]] std::vector<AdmissionAction> request(const AdmissionRequest &request, TimePoint now);

    /// Releases the slot of an admitted request, whatever its outcome.
    [[nodiscard]] std::vector<AdmissionAction> finished(std::uint64_t ticket, TimePoint now);

    /// Removes a waiting request; an unknown ticket is ignored.
    [[nodiscard]] std::vector<AdmissionAction> cancel(std::uint64_t ticket, TimePoint now);

    /// Refuses waiting requests that can no longer finish in time. To be called at nextWake().
    [[nodiscard]] std::vector<AdmissionAction> wake(TimePoint now);

    /// The time from which the waiting request with the earliest deadline can no longer finish in time.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

    [[nodiscard]] std::uint32_t waiting(Lane lane) const noexcept;
    [[nodiscard]] std::uint32_t running(Lane lane) const noexcept;

    /// The expected time of a request in a slot, with a margin for its variation.
    [[nodiscard]] Microseconds expectedService(Lane lane) const noexcept;

private:
    struct Waiting {
        std::uint64_t ticket = 0;
        std::size_t share = 0;
        TimePoint deadline;
    };

    struct Running {
        std::uint64_t ticket = 0;
        std::size_t share = 0;
        TimePoint since;
    };

    struct LaneState {
        std::uint32_t slots = 1;
        /// Invariant: ascending by deadline, at most maxWaiting.
        std::vector<Waiting> waiting;
        /// Invariant: at most `slots`, unless the number of slots was lowered.
        std::vector<Running> running;
        SmoothedTime serviceTime;
        /// Slot time in microseconds that each share has saved (positive) or overdrawn (negative) up to `accruedAt`.
        std::vector<double> credits;
        TimePoint accruedAt;
    };

    using Actions = std::vector<AdmissionAction>;

    [[nodiscard]] LaneState &laneOf(Lane lane) noexcept;
    [[nodiscard]] const LaneState &laneOf(Lane lane) const noexcept;
    [[nodiscard]] std::size_t shareOf(const ServiceName &service) const noexcept;
    [[nodiscard]] bool inCredit(const LaneState &lane, std::size_t share) const noexcept;
    void accrueCredits(LaneState &lane, TimePoint now) const;
    void charge(LaneState &lane, std::size_t share, Microseconds used) const;
    void expire(LaneState &lane, TimePoint now, Actions &actions) const;
    void dispatch(LaneState &lane, TimePoint now, Actions &actions) const;
    /// If the queue is full, refuses its last request out of credit in favor of \a candidate; returns false if \a candidate cannot be
    /// added.
    [[nodiscard]] bool evictFor(LaneState &lane, const Waiting &candidate, TimePoint now, Actions &actions) const;
    /// Number of waiting requests of services in credit, which go first.
    [[nodiscard]] std::size_t preferredWaiting(const LaneState &lane) const noexcept;
    [[nodiscard]] std::size_t nextToAdmit(const LaneState &lane) const noexcept;
    /// True when \a candidate is expected to finish in time and no waiting request would miss its deadline because of it. Requests out of
    /// credit do not count when \a candidate is in credit.
    [[nodiscard]] bool fits(const LaneState &lane, const Waiting &candidate, TimePoint now) const;
    /// Slot time that the running requests are expected to need still, over all slots together.
    [[nodiscard]] Microseconds backlog(const LaneState &lane, TimePoint now) const noexcept;
    [[nodiscard]] Refused refuse(const LaneState &lane, std::uint64_t ticket, TimePoint now) const;

    AdmissionLimits limits_;
    /// Guaranteed shares; the last one is for all services without one of their own.
    std::vector<ServiceShare> shares_;
    std::array<LaneState, laneCount> lanes_;
};

} // namespace cardamomstep
