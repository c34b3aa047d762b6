// Report intervals that keep a proxy within its budget for control traffic.
#pragma once

#include "base/time.h"

#include <cstdint>

namespace cardamomstep {

/// Limits of a proxy's report traffic.
struct PacingBudget {
    /// Bytes per second for reports, both directions.
    std::uint64_t bytesPerSecond = 7'000;
    /// Bytes of one report exchange on the wire.
    std::uint64_t bytesPerExchange = 600;
    /// Up to this number of (group, member) pairs, the shortest interval is used and the byte budget does not apply.
    std::uint32_t maxUnpacedMembers = 24;
    /// Shortest interval.
    Milliseconds minInterval{50};
    /// Longest interval; it keeps a change of primary within 5 s.
    Milliseconds maxInterval{3'000};
    /// Factor of a replica's interval over a primary's, once the byte budget applies.
    unsigned replicaFactor = 4;
};

/// The intervals of one proxy's report requests.
struct Pacing {
    /// Interval of a primary's reports.
    Milliseconds heartbeatInterval{50};
    /// Factor of a replica's interval over that of a primary.
    unsigned replicaHeartbeatFactor = 1;

    [[nodiscard]] bool operator==(const Pacing &) const = default;
};

/// Returns the intervals for \a groups owned groups with \a members (group, member) pairs in total.
///
/// Depends on its arguments only, so it may be recomputed whenever ownership changes.
[[nodiscard]] Pacing paceReports(std::uint32_t groups, std::uint32_t members, const PacingBudget &budget = {}) noexcept;

} // namespace cardamomstep
