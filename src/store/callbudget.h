// A token bucket for each kind of call to the store, so that the whole fleet stays within the store's rates.
#pragma once

#include "base/time.h"
#include "store/fwd.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cardamomstep {

/// Kinds of call that the store counts separately.
enum class CallKind : std::uint8_t {
    Read, ///< get, list, watch and the instance list.
    Write, ///< put and delete.
};

/// Rate and burst (in calls) of one kind of call.
struct CallRate {
    double perSecond = 1;
    double burst = 1;
};

/// Rates of both kinds.
struct CallBudgetOptions {
    CallRate reads{20, 40};
    CallRate writes{10, 20};
};

/// Returns the budget of one proxy in a fleet of \a proxies, so that all together use at most half of the store's rates in the long run.
[[nodiscard]] CallBudgetOptions callBudgetFor(std::size_t proxies) noexcept;

/// Limits calls to their rates. Invariant: between 0 and `burst` tokens of each kind.
class CallBudget
{
public:
    explicit CallBudget(CallBudgetOptions options) noexcept;

    /// Consumes the token of one call of \a kind; returns false when the call must wait.
    [[nodiscard]] bool take(CallKind kind, TimePoint now) noexcept;

    /// Returns the time until a token for a call of \a kind is available; zero when one is available now.
    [[nodiscard]] Milliseconds timeUntilAvailable(CallKind kind, TimePoint now) noexcept;

    /// Changes the rates, for example when the fleet has grown; tokens above the new burst are dropped.
    void setOptions(CallBudgetOptions options, TimePoint now) noexcept;

private:
    struct Bucket {
        CallRate rate;
        double tokens = 0;
        TimePoint refilledAt;
        bool initialized = false;
    };
    [[nodiscard]] Bucket &refill(CallKind kind, TimePoint now) noexcept;

    std::array<Bucket, 2> buckets_;
};

} // namespace cardamomstep
