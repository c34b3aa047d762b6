// The budget of one window, and its division.
#include "customers/limitbudget.h"

#include <algorithm>
#include <cmath>

namespace cardamomstep::customers {

namespace {

/// Capacity of all buckets together up to which allowed excess is used: buckets that hold less than a token or two neither absorb
/// uneven arrivals nor lend.
constexpr double usefulCapacity = 8;
constexpr double usefulSharedCapacity = 16;
constexpr double minTokensOfHolder = 2;
/// The part of a lender's capacity that is on loan while it lends at its whole rate.
constexpr double loanedPartOfCapacity = 0.4;
constexpr Milliseconds maxLoanLifetime{1250};

double seconds(Milliseconds span) noexcept
{
    return static_cast<double>(span.count()) / 1000;
}

/// The part of the capacity that is kept while a customer always asks for more than its limit.
constexpr double exhaustedPartOfCapacity = 0.2;
constexpr double minTokensWhileExhausted = 1.5;

/// Returns the part of the excess for the shares' buckets. A customer with more than one serving proxy has no reserve bucket, so more of
/// the excess is left for it.
double excessOfShares(const RateLimit &limit, const LimitTerms &terms, bool shared) noexcept
{
    return allowedExcess(limit, terms) * (shared ? 5.0 / 8 : 1.0 / 4);
}

/// Returns the operations in one window that all shares together allow.
double wholeBudget(const RateLimit &limit, const LimitTerms &terms, bool shared) noexcept
{
    return limit.perSecond * seconds(terms.window) + limit.burst + excessOfShares(limit, terms, shared);
}

/// Returns the capacity of all buckets together.
double wholeCapacity(const RateLimit &limit, const LimitTerms &terms, bool shared) noexcept
{
    const auto excess = excessOfShares(limit, terms, shared);
    return std::max(limit.burst, std::min(limit.burst + excess, shared ? usefulSharedCapacity : usefulCapacity));
}

} // namespace

double allowedExcess(const RateLimit &limit, const LimitTerms &terms) noexcept
{
    return terms.overage * (limit.perSecond * seconds(terms.window) + limit.burst) + terms.slack;
}

BucketSize shareBucket(const RateLimit &limit, const LimitTerms &terms, double fraction) noexcept
{
    if (limit.perSecond <= 0 || fraction <= 0) {
        return {};
    }
    const bool shared = fraction < 1;
    const auto capacity = wholeCapacity(limit, terms, shared);
    // What the capacity leaves of the window's budget is added to the rate.
    const auto rate = (wholeBudget(limit, terms, shared) - capacity) / seconds(terms.window);
    const BucketSize size{rate * fraction, capacity * fraction};
    if (size.capacity >= 1) {
        return size;
    }
    // A bucket below one token would never admit anything. One token is within the proxy's part of the window's budget if the rate is
    // lower in return.
    const auto budget = size.perSecond * seconds(terms.window) + size.capacity;
    return budget < 1 ? BucketSize{} : BucketSize{(budget - 1) / seconds(terms.window), 1};
}

BucketSize exhaustedBucket(const RateLimit &limit, const LimitTerms &terms, double fraction) noexcept
{
    const auto usual = shareBucket(limit, terms, fraction);
    const auto capacity = std::min(usual.capacity, std::max(usual.capacity * exhaustedPartOfCapacity, minTokensWhileExhausted));
    return {usual.perSecond + (usual.capacity - capacity) / seconds(terms.window), capacity};
}

BucketSize reserveBucket(const RateLimit &limit, const LimitTerms &terms) noexcept
{
    const auto budget = allowedExcess(limit, terms) / 2;
    const auto capacity = std::max(1.0, budget / 4);
    if (limit.perSecond <= 0 || budget < capacity) {
        return {};
    }
    return {std::min(limit.perSecond, (budget - capacity) / seconds(terms.window)), capacity};
}

BucketSize provisionalBucket(const RateLimit &limit, const LimitTerms &terms, double fraction) noexcept
{
    // An eighth of the excess may be refilled in a window, and another may be left over at its start.
    const auto budget = allowedExcess(limit, terms) / 8;
    if (limit.perSecond <= 0 || fraction <= 0) {
        return {};
    }
    return {std::min(limit.perSecond, budget / seconds(terms.window)) * fraction, budget * fraction};
}

Milliseconds loanLifetimeOf(const RateLimit &limit, const LimitTerms &terms) noexcept
{
    if (limit.perSecond <= 0) {
        return minLoanLifetime;
    }
    // Equal on all proxies with the same configuration, whatever their shares are.
    const auto lifetime = loanedPartOfCapacity * wholeCapacity(limit, terms, false) / limit.perSecond * 1000;
    return std::clamp(Milliseconds{static_cast<std::int64_t>(std::min(lifetime, 1e6))}, minLoanLifetime, maxLoanLifetime);
}

std::size_t bucketHolders(const RateLimit &limit, const LimitTerms &terms, std::size_t serving) noexcept
{
    const auto holders = std::floor(wholeCapacity(limit, terms, serving > 1) / minTokensOfHolder);
    return holders >= static_cast<double>(serving) ? serving : std::max<std::size_t>(1, static_cast<std::size_t>(holders));
}

void DelayedShare::set(double fraction, TimePoint later)
{
    std::erase_if(steps_, [fraction](const auto &step) { return step.second >= fraction; });
    if (fraction <= effective_) {
        setNow(fraction);
    } else {
        steps_.emplace_back(later, fraction);
    }
}

void DelayedShare::setNow(double fraction)
{
    effective_ = fraction;
    steps_.clear();
}

void DelayedShare::restart(TimePoint later)
{
    const auto fraction = target();
    setNow(0);
    set(fraction, later);
}

void DelayedShare::step()
{
    effective_ = steps_.front().second;
    steps_.erase(steps_.begin());
}

} // namespace cardamomstep::customers
