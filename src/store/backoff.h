// Exponential backoff with jitter, so that many proxies do not call the store again at the same moment.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "store/fwd.h"

namespace cardamomstep {

/// Limits of a Backoff.
struct BackoffOptions {
    /// Maximum of the first delay.
    Milliseconds initialDelay{100};
    /// Maximum of all delays.
    Milliseconds maxDelay{30'000};
};

/// Delays between attempts that fail.
///
/// Each delay is drawn uniformly between a floor and a ceiling; the ceiling doubles with each failure up to `maxDelay`.
class Backoff
{
public:
    Backoff() = default;
    explicit Backoff(BackoffOptions options)
        : options_(options)
    {
    }

    /// Counts a failure and draws the delay before the next attempt.
    [[nodiscard]] Milliseconds next(Random &random);

    /// Resets the number of failures after a success.
    void reset() noexcept
    {
        failures_ = 0;
    }

    /// The number of consecutive failures.
    [[nodiscard]] unsigned failures() const noexcept
    {
        return failures_;
    }

private:
    BackoffOptions options_;
    unsigned failures_ = 0;
};

} // namespace cardamomstep
