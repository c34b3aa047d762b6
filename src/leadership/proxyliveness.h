// When each proxy of the fleet was last heard of, as the lease holder judges who is gone.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>

namespace cardamomstep::leadership {

/// Settings of an attendance.
struct AttendanceLimits {
    /// A proxy that was not heard of for this long is gone for good.
    Milliseconds removal{20'000};
};

/// Knows when proxies were last heard of.
class Attendance
{
public:
    explicit Attendance(const AttendanceLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Takes in that \a instance is registered; it counts as heard of when it was not known before.
    void known(const InstanceName &instance, TimePoint now)
    {
        heard_.try_emplace(instance, now);
    }

    /// Takes in that \a instance renewed its view.
    void heard(const InstanceName &instance, TimePoint now)
    {
        heard_[instance] = now;
    }

    void forget(const InstanceName &instance)
    {
        heard_.erase(instance);
    }

    /// Gives every proxy the full time anew: what was heard before this process held the lease says nothing.
    void restart(TimePoint now)
    {
        for (auto &[instance, heardAt] : heard_) {
            heardAt = now;
        }
    }

    [[nodiscard]] bool gone(const InstanceName &instance, TimePoint now) const
    {
        const auto found = heard_.find(instance);
        return found != heard_.end() && now - found->second >= limits_.removal;
    }

private:
    AttendanceLimits limits_;
    std::map<InstanceName, TimePoint> heard_;
};

} // namespace cardamomstep::leadership
