// Time types of the decision code: points on a monotonic clock that the caller passes in.
#pragma once

#include <chrono>

namespace cardamomstep {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// The clock of all decisions; it has no `now()`, because the decision code gets the time as a parameter.
struct DecisionClock {
    using duration = Microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<DecisionClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name set by the standard library
};

/// A point in time with microsecond resolution; its origin has no meaning.
using TimePoint = DecisionClock::time_point;

/// Returns the current time of the process's steady clock; for the I/O layer only.
[[nodiscard]] inline TimePoint steadyNow() noexcept
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint{std::chrono::duration_cast<Microseconds>(since)};
}

/// Returns \a span in whole milliseconds, rounded down; 0 if \a span is negative.
[[nodiscard]] constexpr Milliseconds wholeMilliseconds(Microseconds span) noexcept
{
    const auto rounded = std::chrono::duration_cast<Milliseconds>(span);
    return rounded.count() < 0 ? Milliseconds{0} : rounded;
}

} // namespace cardamomstep
