// Admission to a database group: who may run now, who waits, and who is told at once to come back.
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
    /// The shell's name for the request; unique while the request is in the queue or in service.
    std::uint64_t ticket = 0;
    Lane lane = Lane::Primary;
    ServiceName service;
    /// When the answer must have left this process.
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
    /// ErrorKind::Overloaded with a time to come back.
    Error error;

    [[nodiscard]] bool operator==(const Refused &) const = default;
};

/// What became of a request.
using AdmissionAction = std::variant<Admitted, Refused>;

/// The part of each lane that a service is promised.
struct ServiceShare {
    ServiceName service;
    /// Fraction of the lane's slots, from 0 to 1; what it leaves unused is lent to others.
    double guaranteed = 0;
};

/// Settings of an admission queue.
struct AdmissionLimits {
    /// Requests that may wait in one lane.
    std::uint32_t maxWaiting = 64;
    /// Estimate of one request's time in a slot before any was measured.
    Microseconds initialServiceTime{5'000};
    /// Shortest and longest time to come back that a refusal names.
    Milliseconds minRetryAfter{10};
    Milliseconds maxRetryAfter{5'000};
    /// How much slot time a service may save up, or overdraw, against its share.
    Microseconds maxShareCredit{200'000};
};

/// Slots and the short queue in front of them, for one database group.
///
/// Requests wait in order of deadline. A request is refused as soon as it cannot finish within its window: on arrival, when
/// those in front of it take too long or when it would push out one that was accepted before, and later when the estimate grows.
/// Services that are below their guaranteed part go first; what they leave is lent.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(const AdmissionLimits &limits = {});

    /// Sets how many requests of \a lane may run at once; a smaller number waits for running ones to finish.
    [[nodiscard]] std::vector<AdmissionAction> setSlots(Lane lane, std::uint32_t slots, TimePoint now);

    /// Sets the guaranteed parts; services not listed have none. The parts should add up to at most 1.
    void setShares(const std::vector<ServiceShare> &shares);

    /// Takes in a new request.
    [[nodiscard]] std::vector<AdmissionAction> request(const AdmissionRequest &request, TimePoint now);

    /// Takes in that an admitted request gave its slot back, whatever its outcome.
    [[nodiscard]] std::vector<AdmissionAction> finished(std::uint64_t ticket, TimePoint now);

    /// Takes in that a waiting request is no longer wanted; an unknown ticket is ignored.
    [[nodiscard]] std::vector<AdmissionAction> cancel(std::uint64_t ticket, TimePoint now);

    /// Expires waiting requests; to be called at nextWake().
    [[nodiscard]] std::vector<AdmissionAction> wake(TimePoint now);

    /// When the first waiting request can no longer make it.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

    [[nodiscard]] std::uint32_t waiting(Lane lane) const noexcept;
    [[nodiscard]] std::uint32_t running(Lane lane) const noexcept;

    /// Time that a request is expected to hold a slot, with a margin for its variation.
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
        /// Slot time in microseconds that each share has saved (positive) or overdrawn (negative) up to `settledAt`.
        std::vector<double> credits;
        TimePoint settledAt;
    };

    using Actions = std::vector<AdmissionAction>;

    [[nodiscard]] LaneState &laneOf(Lane lane) noexcept;
    [[nodiscard]] const LaneState &laneOf(Lane lane) const noexcept;
    [[nodiscard]] std::size_t shareOf(const ServiceName &service) const noexcept;
    [[nodiscard]] bool inCredit(const LaneState &lane, std::size_t share) const noexcept;
    void settleCredits(LaneState &lane, TimePoint now) const;
    void charge(LaneState &lane, std::size_t share, Microseconds used) const;
    void expire(LaneState &lane, TimePoint now, Actions &actions) const;
    void dispatch(LaneState &lane, TimePoint now, Actions &actions) const;
    [[nodiscard]] bool evictFor(LaneState &lane, const Waiting &candidate, TimePoint now, Actions &actions) const;
    [[nodiscard]] std::size_t preferredWaiting(const LaneState &lane) const noexcept;
    [[nodiscard]] std::size_t nextInLine(const LaneState &lane) const noexcept;
    [[nodiscard]] bool fits(const LaneState &lane, const Waiting &candidate, TimePoint now) const;
    [[nodiscard]] Microseconds backlog(const LaneState &lane, TimePoint now) const noexcept;
    [[nodiscard]] Refused refuse(const LaneState &lane, std::uint64_t ticket, TimePoint now) const;

    AdmissionLimits limits_;
    /// Guaranteed parts; the last one is for all services without one of their own.
    std::vector<ServiceShare> shares_;
    std::array<LaneState, laneCount> lanes_;
};

} // namespace cardamomstep
