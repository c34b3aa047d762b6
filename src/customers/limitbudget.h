// How a customer's limit is divided into token buckets.
#pragma once

#include "base/time.h"
#include "customers/customer.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace cardamomstep::customers {

/// The shortest time for which loans are valid; requests must be answered within it.
inline constexpr Milliseconds minLoanLifetime{250};

/// Rounding errors of sums of fractions must not cost an operation.
inline constexpr double tokenTolerance = 1e-9;

/// How exactly limits must hold: in any time span of length `window`, at most (rate x window + burst) x (1 + overage) + slack operations.
struct LimitTerms {
    Milliseconds window{5000};
    double overage = 0;
    double slack = 0;
    /// Time before a larger share takes effect. It must be longer than the time for which a proxy may act on an older set of serving
    /// proxies (1 s) and the longest process pause that goes undetected (1.5 s) together.
    Milliseconds shareDelay{2500};
};

/// What one proxy enforces of a customer's limit.
struct LimitShare {
    /// Of rate and burst; 0 if this proxy is not a serving proxy.
    double fraction = 0;
    /// This proxy is the standby of a customer with one serving proxy, so it has the reserve bucket instead of a share.
    bool reserve = false;

    [[nodiscard]] bool operator==(const LimitShare &) const = default;
};

/// Refill rate and capacity of a token bucket.
struct BucketSize {
    double perSecond = 0;
    double capacity = 0;

    [[nodiscard]] BucketSize operator+(const BucketSize &other) const noexcept
    {
        return {perSecond + other.perSecond, capacity + other.capacity};
    }
};

/// The operations in one window beyond rate x window + burst that the terms allow: half is for the reserve bucket, a quarter for
/// provisional shares, and a quarter for larger capacities of customers with a small burst.
[[nodiscard]] double allowedExcess(const RateLimit &limit, const LimitTerms &terms) noexcept;

/// The bucket of a proxy with \a fraction of the limit.
[[nodiscard]] BucketSize shareBucket(const RateLimit &limit, const LimitTerms &terms, double fraction) noexcept;

/// The bucket of a proxy with \a fraction of the limit after a whole window without tokens left over: it holds less and is refilled faster,
/// so that a customer that always asks for more gets the budget of a window in each window.
[[nodiscard]] BucketSize exhaustedBucket(const RateLimit &limit, const LimitTerms &terms, double fraction) noexcept;

/// The bucket of a standby.
[[nodiscard]] BucketSize reserveBucket(const RateLimit &limit, const LimitTerms &terms) noexcept;

/// What a proxy may use of \a fraction before that share takes effect.
[[nodiscard]] BucketSize provisionalBucket(const RateLimit &limit, const LimitTerms &terms, double fraction) noexcept;

/// Time from the request within which borrowed tokens must be spent; for the lender they count as its own until then. It is longer for
/// customers whose operations are far apart, but short enough for the lender's bucket to refill at its whole rate.
[[nodiscard]] Milliseconds loanLifetimeOf(const RateLimit &limit, const LimitTerms &terms) noexcept;

/// The number of proxies, of \a serving ones, that have a bucket: each must hold at least two tokens, or it could seldom spend or lend one.
/// The others have the fraction 0 and borrow.
[[nodiscard]] std::size_t bucketHolders(const RateLimit &limit, const LimitTerms &terms, std::size_t serving) noexcept;

/// A share that shrinks at once and grows after a delay: at any time it is the smallest of those set within the delay.
///
/// Another proxy may still use the share that this one gains.
class DelayedShare
{
public:
    /// Sets the share; a larger one takes effect at \a later.
    void set(double fraction, TimePoint later);
    /// Sets the share to take effect at once.
    void setNow(double fraction);
    /// Withdraws the share until \a later.
    void restart(TimePoint later);

    [[nodiscard]] double effective() const noexcept
    {
        return effective_;
    }
    /// The share that was set last.
    [[nodiscard]] double target() const noexcept
    {
        return steps_.empty() ? effective_ : steps_.back().second;
    }
    /// When the share grows next.
    [[nodiscard]] std::optional<TimePoint> nextStep() const noexcept
    {
        return steps_.empty() ? std::nullopt : std::optional(steps_.front().first);
    }
    /// Takes the next step.
    void step();

private:
    double effective_ = 0;
    /// Later values and their times; invariant: both increase.
    std::vector<std::pair<TimePoint, double>> steps_;
};

} // namespace cardamomstep::customers
