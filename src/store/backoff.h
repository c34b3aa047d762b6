// Exponential back-off with full jitter, so that many proxies do not return to the store at once.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "store/fwd.h"

namespace cardamomstep {

/// Limits of a Backoff.
struct BackoffOptions {
    /// Longest first wait.
    Milliseconds initialDelay{100};
    /// Longest wait of all.
    Milliseconds maxDelay{30'000};
};

/// Waits between attempts that fail.
///
/// Each wait is drawn evenly between a floor and a ceiling; the ceiling doubles with each failure up to the longest wait.
class Backoff
{
public:
    Backoff() = default;
    explicit Backoff(BackoffOptions options)
        : options_(options)
    {
    }

    /// Counts a failure and draws the wait before the next attempt.
    [[nodiscard]] Milliseconds next(Random &random);

    /// Forgets the failures after a success.
    void reset() noexcept
    {
        failures_ = 0;
    }

    /// Failures in a row.
    [[nodiscard]] unsigned failures() const noexcept
    {
        return failures_;
    }

private:
    BackoffOptions options_;
    unsigned failures_ = 0;
};

} // namespace cardamomstep
