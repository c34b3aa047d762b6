// Request windows across hops: each hop forwards the remaining time, less an allowance for the hop itself.
#pragma once

#include "base/time.h"
#include "connections/smoothedtime.h"
#include "requests/fwd.h"

namespace cardamomstep {

/// A measured allowance for one hop between two processes.
///
/// Clocks of two processes are never compared: a hop carries the remaining time, and the receiver counts it from the arrival.
class HopMargin
{
public:
    /// Shortest allowance, for scheduling at both ends.
    static constexpr Microseconds minAllowance{500};

    explicit HopMargin(Microseconds initial = Microseconds{4'000}) noexcept
        : roundTrip_(initial)
    {
    }

    /// Adds a measured round trip of a hop, without the processing time at the remote end.
    void observe(Microseconds roundTrip) noexcept
    {
        roundTrip_.observe(roundTrip);
    }

    /// Time to subtract from the window: one round trip with a margin.
    [[nodiscard]] Microseconds allowance() const noexcept
    {
        const auto margin = roundTrip_.withMargin(2);
        return margin < minAllowance ? minAllowance : margin;
    }

private:
    SmoothedTime roundTrip_;
};

/// Returns the deadline of a request that arrived at \a arrived with \a window.
[[nodiscard]] constexpr TimePoint deadlineOf(TimePoint arrived, Milliseconds window) noexcept
{
    return arrived + window;
}

/// Returns the window to send over a hop; zero means that too little time is left for the hop.
[[nodiscard]] inline Milliseconds windowOverHop(TimePoint deadline, TimePoint now, const HopMargin &margin) noexcept
{
    return wholeMilliseconds(deadline - now - margin.allowance());
}

} // namespace cardamomstep
