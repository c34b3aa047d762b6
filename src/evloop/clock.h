// The clock of leases and ages: it goes on while the machine is suspended.
#pragma once

#include "base/time.h"

#include <ctime>

namespace cardamomstep::evloop {

/// The time since the machine started, suspension included; never set back.
[[nodiscard]] inline TimePoint bootTimeNow() noexcept
{
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint{std::chrono::duration_cast<Microseconds>(std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec})};
}

} // namespace cardamomstep::evloop
