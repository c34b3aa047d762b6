// The retry budget: how many retries the successes of late have earned.
#pragma once

#include "requests/fwd.h"

#include <algorithm>

namespace cardamomstep {

/// Settings of a retry budget.
struct RetryBudgetLimits {
    /// Retries earned by one success.
    double perSuccess = 0.1;
    /// Most retries that can be saved up; also the balance at the start.
    double maxBalance = 10;
};

/// A token bucket that is filled by successes, so that retries cannot multiply the load of a failing group.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetLimits &limits = {}) noexcept
        : limits_(limits)
        , balance_(limits.maxBalance)
    {
    }

    /// Takes in a request that succeeded.
    void succeeded() noexcept
    {
        balance_ = std::min(limits_.maxBalance, balance_ + limits_.perSuccess);
    }

    /// Takes one retry; false when none is left.
    [[nodiscard]] bool take() noexcept
    {
        if (balance_ < 1) {
            return false;
        }
        balance_ -= 1;
        return true;
    }

    [[nodiscard]] double balance() const noexcept
    {
        return balance_;
    }

private:
    RetryBudgetLimits limits_;
    /// Invariant: from 0 to limits_.most.
    double balance_;
};

} // namespace cardamomstep
