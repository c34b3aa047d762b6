// The retry budget: limits retries to a fraction of recent successes.
#pragma once

#include "requests/fwd.h"

#include <algorithm>

namespace cardamomstep {

/// Settings of a retry budget.
struct RetryBudgetLimits {
    /// Retries earned by one success.
    double perSuccess = 0.1;
    /// The maximum number of retries that can be saved up; also the initial balance.
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

    /// Records a successful request.
    void succeeded() noexcept
    {
        balance_ = std::min(limits_.maxBalance, balance_ + limits_.perSuccess);
    }

    /// Takes one retry; returns false when none is left.
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
    /// Invariant: from 0 to limits_.maxBalance.
    double balance_;
};

} // namespace cardamomstep
