// The proxies that renew their primary tables at one proxy, directly or over others.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <algorithm>
#include <map>
#include <vector>

namespace cardamomstep::leadership {

/// A proxy, and the time since its last renewal.
struct DownstreamProxy {
    InstanceName instance;
    Milliseconds sinceContact{0};

    [[nodiscard]] bool operator==(const DownstreamProxy &) const = default;
};

/// Collects the contacts that the lease holder is to learn of. Time is passed in.
///
/// Contacts are passed on with their age: two proxies that renew at each other would otherwise keep each other's dead proxies alive.
class DownstreamProxies
{
public:
    /// Records that \a instance renewed here.
    void onContact(const InstanceName &instance, TimePoint now)
    {
        contacts_[instance] = now;
    }

    /// Records the contacts that a proxy reports which renews here.
    void onReported(const std::vector<DownstreamProxy> &proxies, TimePoint now)
    {
        for (const auto &proxy : proxies) {
            auto &contactAt = contacts_[proxy.instance];
            contactAt = std::max<TimePoint>(contactAt, now - proxy.sinceContact);
        }
    }

    /// Returns the contacts to report if a report is due: once per second, since proxies are removed after 20 s without contact.
    [[nodiscard]] std::vector<DownstreamProxy> reportIfDue(TimePoint now)
    {
        if (now - reportedAt_ < reportInterval) {
            return {};
        }
        pendingAt_ = now;
        std::erase_if(contacts_, [now](const auto &contact) { return now - contact.second > timeout; });
        std::vector<DownstreamProxy> proxies;
        for (const auto &[instance, contactAt] : contacts_) {
            proxies.push_back({instance, std::chrono::ceil<Milliseconds>(now - contactAt)});
        }
        return proxies;
    }

    /// Records the reply to a renewal that carried the last report.
    void onReply() noexcept
    {
        reportedAt_ = std::max(reportedAt_, pendingAt_);
    }

    void forget(const InstanceName &instance)
    {
        contacts_.erase(instance);
    }

private:
    static constexpr Milliseconds reportInterval{1000};
    /// Contacts that are older are not reported.
    static constexpr Milliseconds timeout{5000};

    std::map<InstanceName, TimePoint> contacts_;
    TimePoint reportedAt_;
    /// Time of the newest report.
    TimePoint pendingAt_;
};

} // namespace cardamomstep::leadership
