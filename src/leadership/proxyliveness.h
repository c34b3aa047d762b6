// The last contact with each proxy of the fleet, by which the lease holder detects proxies that have ended.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <algorithm>
#include <map>

namespace cardamomstep::leadership {

/// Settings of the proxies' liveness.
struct ProxyLivenessLimits {
    /// Time without contact after which a proxy counts as ended, and its entry is removed from the store.
    Milliseconds removalTimeout{20'000};
};

/// Records the time of the last contact with each proxy.
class ProxyLiveness
{
public:
    explicit ProxyLiveness(const ProxyLivenessLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Records that \a instance is registered; this counts as contact when it was not known before.
    void onRegistered(const InstanceName &instance, TimePoint now)
    {
        lastContacts_.try_emplace(instance, now);
    }

    /// Records contact with \a instance at \a time: it renewed its primary table.
    void onContact(const InstanceName &instance, TimePoint time)
    {
        auto &lastContactAt = lastContacts_[instance];
        lastContactAt = std::max(lastContactAt, time);
    }

    void forget(const InstanceName &instance)
    {
        lastContacts_.erase(instance);
    }

    /// Restarts every proxy's timeout: contacts are only reported to the lease holder, so those from before this process held the lease
    /// say nothing.
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
