// Bounds what one proxy sends of the catalog to those that renew at it.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace cardamomstep {

/// Whether objects are sent with a renewal.
enum class RelayDecision : std::uint8_t {
    Send,
    Defer, ///< With a later renewal.
    Withhold, ///< Never; the receiver lists them from the store.
};

/// Limits of a RelayBudget, for links of 10 Mbit/s.
struct RelayBudgetLimits {
    /// Larger sets of objects are never sent: 64 KB take 52 ms of the 250 ms within which a renewal must be answered.
    std::size_t largest = 64UL * 1024;
    /// Sets up to this size are always sent, for example a member that starts to drain.
    std::size_t alwaysSent = 4UL * 1024;
    /// 40 % of the link, so that twelve configurations at once don't delay renewals beyond their timeout.
    std::size_t bytesPerSecond = 500UL * 1024;
};

/// A token bucket of bytes. Time is passed in.
class RelayBudget
{
public:
    explicit RelayBudget(const RelayBudgetLimits &limits = {})
        : limits_(limits)
        , available_(static_cast<double>(limits.largest))
    {
    }

    /// Decides on objects of \a size bytes, and takes these from the budget if they are sent.
    [[nodiscard]] RelayDecision take(std::size_t size, TimePoint now) noexcept
    {
        if (size > limits_.largest) {
            return RelayDecision::Withhold;
        }
        const auto elapsed = std::chrono::duration<double>(now - refilledAt_).count();
        refilledAt_ = now;
        available_ = std::min(available_ + elapsed * static_cast<double>(limits_.bytesPerSecond), static_cast<double>(limits_.largest));
        const auto needed = static_cast<double>(size);
        if (needed > available_ && size > limits_.alwaysSent) {
            return RelayDecision::Defer;
        }
        available_ -= needed;
        return RelayDecision::Send;
    }

private:
    RelayBudgetLimits limits_;
    double available_;
    TimePoint refilledAt_;
};

} // namespace cardamomstep
