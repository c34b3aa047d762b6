// How often members are asked for a report, so that a node stays within its budget for control traffic.
#pragma once

#include "base/time.h"

#include <cstdint>

namespace cardamomstep {

/// What a node may spend on watching members.
struct PacingBudget {
    /// Bytes for reports in one second, both directions.
    std::uint64_t bytesPerSecond = 7'000;
    /// Bytes of one report exchange on the wire.
    std::uint64_t bytesPerExchange = 600;
    /// Up to this number of watches the shortest interval is used and the byte budget is left aside.
    std::uint32_t maxUnpacedMembers = 24;
    /// Shortest interval.
    Milliseconds minInterval{50};
    /// Longest interval; keeps a change of primary within 5 s.
    Milliseconds maxInterval{3'000};
    /// How many times longer a replica's interval is, once intervals are paced.
    unsigned replicaFactor = 4;
};

/// The interval of one node's reports.
struct Pacing {
    /// Interval of a primary's reports.
    Milliseconds heartbeatInterval{50};
    /// Factor for a replica's reports.
    unsigned replicaHeartbeatFactor = 1;

    [[nodiscard]] bool operator==(const Pacing &) const = default;
};

/// The intervals for \a groups owned groups with \a watches (group, member) pairs in all.
///
/// Depends on its arguments only, so it may be computed again whenever ownership changes.
[[nodiscard]] Pacing paceReports(std::uint32_t groups, std::uint32_t members, const PacingBudget &budget = {}) noexcept;

} // namespace cardamomstep
