// When each proxy of the fleet was last heard of, as the lease holder judges who is gone.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>

namespace cardamomstep::leadership {

/// Settings of an attendance.
struct ProxyLivenessLimits {
    /// A proxy that was not heard of for this long is gone for good.
    Milliseconds removalTimeout{20'000};
};

/// Knows when proxies were last heard of.
class ProxyLiveness
{
public:
    explicit ProxyLiveness(const ProxyLivenessLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Takes in that \a instance is registered; it counts as heard of when it was not known before.
    void onRegistered(const InstanceName &instance, TimePoint now)
    {
        lastContacts_.try_emplace(instance, now);
    }

    /// Takes in that \a instance renewed its view.
    void onContact(const InstanceName &instance, TimePoint now)
    {
        lastContacts_[instance] = now;
    }

    void forget(const InstanceName &instance)
    {
        lastContacts_.erase(instance);
    }

    /// Gives every proxy the full time anew: what was heard before this process held the lease says nothing.
    void restart(TimePoint now)
    {
        for (auto &[instance, lastContactAt] : lastContacts_) {
            lastContactAt = now;
        }
    }

    [[nodiscard]] bool isExpired(const InstanceName &instance, TimePoint now) const
    {
        const auto found = lastContacts_.find(instance);
        return found != lastContacts_.end() && now - found->second >= limits_.removalTimeout;
    }

private:
    ProxyLivenessLimits limits_;
    std::map<InstanceName, TimePoint> lastContacts_;
};

} // namespace cardamomstep::leadership
