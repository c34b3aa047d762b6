// Refills and consumes the tokens of a CallBudget.
#include "store/callbudget.h"

#include <algorithm>
#include <cmath>

namespace cardamomstep {

namespace {

/// Half of what the store serves: about two thousand reads and several hundred writes a second.
constexpr double fleetReadsPerSecond = 1000;
constexpr double fleetWritesPerSecond = 150;
/// Bursts of the whole fleet: even when all proxies use theirs at once, the store can serve the calls within one second.
constexpr double fleetReadBurst = 1000;
constexpr double fleetWriteBurst = 150;
/// A single call, or one change with its read-back, must always fit.
constexpr double minReadBurst = 4;
constexpr double minWriteBurst = 2;
/// Upper limits of each proxy; a small fleet needs no more.
constexpr CallRate maxReads{50, 100};
constexpr CallRate maxWrites{25, 50};

constexpr double millisecondsPerSecond = 1000;

} // namespace

CallBudgetOptions callBudgetFor(std::size_t proxies) noexcept
{
    const auto count = static_cast<double>(std::max<std::size_t>(proxies, 1));
    CallBudgetOptions options;
    options.reads.perSecond = std::min(maxReads.perSecond, fleetReadsPerSecond / count);
    options.reads.burst = std::clamp(fleetReadBurst / count, minReadBurst, maxReads.burst);
    options.writes.perSecond = std::min(maxWrites.perSecond, fleetWritesPerSecond / count);
    options.writes.burst = std::clamp(fleetWriteBurst / count, minWriteBurst, maxWrites.burst);
    return options;
}

CallBudget::CallBudget(CallBudgetOptions options) noexcept
{
    buckets_[static_cast<std::size_t>(CallKind::Read)].rate = options.reads;
    buckets_[static_cast<std::size_t>(CallKind::Write)].rate = options.writes;
}

bool CallBudget::take(CallKind kind, TimePoint now) noexcept
{
    auto &bucket = refill(kind, now);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

Milliseconds CallBudget::timeUntilAvailable(CallKind kind, TimePoint now) noexcept
{
    const auto &bucket = refill(kind, now);
    if (bucket.tokens >= 1) {
        return Milliseconds{0};
    }
    const auto seconds = (1 - bucket.tokens) / bucket.rate.perSecond;
    return Milliseconds{static_cast<Milliseconds::rep>(std::ceil(seconds * millisecondsPerSecond))};
}

void CallBudget::setOptions(CallBudgetOptions options, TimePoint now) noexcept
{
    for (const auto kind : {CallKind::Read, CallKind::Write}) {
        auto &bucket = refill(kind, now);
        bucket.rate = kind == CallKind::Read ? options.reads : options.writes;
        bucket.tokens = std::min(bucket.tokens, bucket.rate.burst);
    }
}

CallBudget::Bucket &CallBudget::refill(CallKind kind, TimePoint now) noexcept
{
    auto &bucket = buckets_[static_cast<std::size_t>(kind)];
    if (!bucket.initialized) {
        bucket.initialized = true;
        bucket.tokens = bucket.rate.burst;
        bucket.refilledAt = now;
    }
    if (now > bucket.refilledAt) {
        const std::chrono::duration<double> passed = now - bucket.refilledAt;
        bucket.tokens = std::min(bucket.rate.burst, bucket.tokens + passed.count() * bucket.rate.perSecond);
        bucket.refilledAt = now;
    }
    return bucket;
}

} // namespace cardamomstep
