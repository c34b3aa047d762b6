// A token bucket for each kind of call to the store, so that the whole fleet stays within the store's rates.
#pragma once

#include "base/time.h"
#include "store/fwd.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cardamomstep {

/// Kinds of call that the store counts apart.
enum class CallKind : std::uint8_t {
    Read, ///< get, list, watch and the instance list.
    Write, ///< put and delete.
};

/// Rate and burst of one kind of call.
struct CallRate {
    double perSecond = 1;
    double burst = 1;
};

/// Rates of both kinds.
struct CallBudgetOptions {
    CallRate reads{20, 40};
    CallRate writes{10, 20};
};

/// The share of one proxy in a fleet of \a proxies, so that all together use at most half of the store's rates in the long run.
[[nodiscard]] CallBudgetOptions callBudgetFor(std::size_t proxies) noexcept;

/// Counts calls against their rates. Invariant: between 0 and `burst` tokens of each kind.
class CallBudget
{
public:
    explicit CallBudget(CallBudgetOptions options) noexcept;

    /// Takes one call of \a kind; false when it must wait.
    [[nodiscard]] bool take(CallKind kind, TimePoint now) noexcept;

    /// How long until a call of \a kind can be taken; zero when it can be taken now.
    [[nodiscard]] Milliseconds timeUntilAvailable(CallKind kind, TimePoint now) noexcept;

    /// Changes the rates, for example when the fleet has grown; tokens above the new burst are dropped.
    void setOptions(CallBudgetOptions options, TimePoint now) noexcept;

private:
    struct Bucket {
        CallRate rate;
        double tokens = 0;
        TimePoint filled;
        bool started = false;
    };
    [[nodiscard]] Bucket &refilled(CallKind kind, TimePoint now) noexcept;

    std::array<Bucket, 2> buckets_;
};

} // namespace cardamomstep
