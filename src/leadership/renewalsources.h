// Chooses the source of each renewal, and avoids sources that did not reply.
#pragma once

#include "base/time.h"
#include "leadership/renewaltree.h"

#include <cstddef>
#include <map>

namespace cardamomstep::leadership {

/// The order in which one proxy queries the sources that a RenewalTree gives. Time is passed in.
///
/// A source that did not reply twice in succession is passed over for a while, as long as others grant tables. Otherwise each renewal would
/// first wait for its timeout, and what this proxy grants to others would be too old for them.
class RenewalSources
{
public:
    /// Returns the proxy to query now; empty when there is none.
    [[nodiscard]] InstanceName next(const RenewalTree &tree, const InstanceName &self, const InstanceName &leaseHolder, TimePoint now)
    {
        std::erase_if(avoidedUntil_, [now](const auto &avoided) { return avoided.second <= now; });
        for (std::size_t step = 0; step < maxPassedOver; ++step) {
            auto source = tree.source(self, leaseHolder, attempt_ + step);
            // The lease holder is never passed over: what others grant derives from it.
            if (!source.empty() && (source == leaseHolder || !avoidedUntil_.contains(source))) {
                return source;
            }
        }
        return tree.source(self, leaseHolder, attempt_);
    }

    /// Records that there was no source, or that one granted no table: those that were passed over are queried again.
    void onRefused()
    {
        ++attempt_;
        avoidedUntil_.clear();
    }

    /// Records that \a source granted a table.
    void onGranted(const InstanceName &source)
    {
        attempt_ = 0;
        failures_.erase(source);
    }

    /// Records that \a source did not reply.
    void onFailed(const InstanceName &source, TimePoint now)
    {
        ++attempt_;
        if (++failures_[source] >= toleratedFailures) {
            avoidedUntil_[source] = now + avoidFor;
        }
    }

private:
    static constexpr Milliseconds avoidFor{3000};
    /// One renewal may be lost, or time out while its receiver pauses for a moment.
    static constexpr unsigned toleratedFailures = 2;
    static constexpr std::size_t maxPassedOver = 4;

    /// The number of consecutive attempts that granted no table.
    std::size_t attempt_ = 0;
    /// The number of consecutive failures, by source.
    std::map<InstanceName, unsigned> failures_;
    std::map<InstanceName, TimePoint> avoidedUntil_;
};

} // namespace cardamomstep::leadership
