// Windows carried over hops: each hop passes on what remains, less the time of the way back.
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

    explicit HopMargin(Microseconds first = Microseconds{4'000}) noexcept
        : roundTrip_(first)
    {
    }

    /// Takes in the measured time of a hop there and back, without the work at the far end.
    void observe(Microseconds roundTrip) noexcept
    {
        roundTrip_.observe(roundTrip);
    }

    /// Time to keep back from the window: there and back, with a margin.
    [[nodiscard]] Microseconds allowance() const noexcept
    {
        const auto margin = roundTrip_.withMargin(2);
        return margin < minAllowance ? minAllowance : margin;
    }

private:
    SmoothedTime roundTrip_;
};

/// The deadline of a request that arrived at \a arrived with \a window.
[[nodiscard]] constexpr TimePoint deadlineOf(TimePoint arrived, Milliseconds window) noexcept
{
    return arrived + window;
}

/// The window to send along over a hop; zero means that the hop is no longer worth it.
[[nodiscard]] inline Milliseconds windowOverHop(TimePoint deadline, TimePoint now, const HopMargin &margin) noexcept
{
    return wholeMilliseconds(deadline - now - margin.allowance());
}

} // namespace cardamomstep
