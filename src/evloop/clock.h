// The clock for leases and ages, which continues while the machine is suspended.
#pragma once

#include "base/time.h"

#include <ctime>

namespace cardamomstep::evloop {

/// Returns the time since the machine was booted, including suspension; it never goes backwards.
[[nodiscard]] inline TimePoint bootTimeNow() noexcept
{
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint{std::chrono::duration_cast<Microseconds>(std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec})};
}

} // namespace cardamomstep::evloop
