// Token buckets and loans.
#include "customers/customerlimits.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace cardamomstep::customers {

namespace {

/// Time constant of the smoothed demand. A load that moves to another proxy must show within about a second.
constexpr double demandSeconds = 0.5;
constexpr Milliseconds minRetryAfter{20};
constexpr Milliseconds maxRetryAfter{1000};
constexpr Milliseconds eventInterval{1000};

double seconds(Microseconds span) noexcept
{
    return static_cast<double>(span.count()) / 1e6;
}

} // namespace

CustomerLimits::CustomerLimits(const LimitTerms &terms, std::uint64_t seed, bool startFull)
    : terms_(terms)
    , random_(seed)
    , startFull_(startFull)
{
}

void CustomerLimits::configure(const std::vector<Customer> &customers, TimePoint now)
{
    tick(now);
    std::unordered_map<CustomerName, State> configured;
    configured.reserve(customers.size());
    for (const auto &customer : customers) {
        const auto known = customers_.find(customer.name);
        auto &state = configured[customer.name];
        if (known == customers_.end()) {
            state.startsFull = startFull_;
            state.refilledAt = now;
            state.lastPlentyAt = now;
            state.pauses = pauses_;
        } else {
            state = std::move(known->second);
            refill(state, now);
        }
        if (!state.limit && known != customers_.end()) {
            // What it spent without a limit is not known.
            withdraw(state, now);
        }
        if (state.limit && customer.limit && customer.limit->perSecond < state.limit->perSecond) {
            state.borrowed.clear();
        }
        if (state.limit != customer.limit) {
            state.lastPlentyAt = now;
        }
        state.limit = customer.limit;
        state.tokens = std::min(state.tokens, bucketOf(state).capacity);
    }
    customers_ = std::move(configured);
    startFull_ = startFull_ && customers.empty();
}

void CustomerLimits::setServing(const CustomerName &customer, const LimitShare &share, TimePoint now)
{
    tick(now);
    const auto found = customers_.find(customer);
    if (found != customers_.end()) {
        applyShare(found->second, share, now);
    }
}

void CustomerLimits::resumeShares(TimePoint now)
{
    tick(now);
    resumesUntil_ = now + terms_.shareDelay;
    for (auto &[name, state] : customers_) {
        if (state.limit && state.shareKnown) {
            refill(state, now);
            resume(state, now);
        }
    }
}

/// Puts the share into effect at once, with the tokens that a provisional share might hold: callers return together after an outage.
void CustomerLimits::resume(State &state, TimePoint now) const
{
    const auto fraction = state.serving.target();
    state.serving.setNow(fraction);
    state.reserve.setNow(state.reserve.target());
    state.lastPlentyAt = now;
    const auto tokens = provisionalBucket(*state.limit, terms_, fraction).capacity;
    state.tokens = std::max(state.tokens, std::min(tokens, bucketOf(state).capacity));
}

void CustomerLimits::updateShares(const std::function<LimitShare(const CustomerName &customer, const RateLimit &limit)> &shareOf,
                                  TimePoint now)
{
    tick(now);
    for (auto &[name, state] : customers_) {
        if (state.limit) {
            applyShare(state, shareOf(name, *state.limit), now);
        }
    }
}

void CustomerLimits::applyShare(State &state, const LimitShare &share, TimePoint now) const
{
    refill(state, now);
    const auto fraction = share.reserve ? 0.0 : share.fraction;
    const auto reserve = share.reserve ? 1.0 : 0.0;
    const bool first = !std::exchange(state.shareKnown, true);
    if (first && state.startsFull) {
        state.serving.setNow(fraction);
        state.reserve.setNow(reserve);
        state.tokens = bucketOf(state).capacity;
        return;
    }
    if (fraction != state.serving.target() || reserve != state.reserve.target()) {
        state.lastPlentyAt = now;
    }
    if (first && now < resumesUntil_) {
        state.serving.set(fraction, now);
        state.reserve.set(reserve, now);
        resume(state, now);
        return;
    }
    if (fraction != state.serving.target()) {
        state.serving.set(fraction, now + terms_.shareDelay);
    }
    if (reserve != state.reserve.target()) {
        state.reserve.set(reserve, now + terms_.shareDelay);
    }
    refillUntil(state, bucketOf(state), now);
}

Result<Success> CustomerLimits::admit(const CustomerName &customer, TimePoint now)
{
    tick(now);
    const auto found = customer.empty() ? customers_.end() : customers_.find(customer);
    if (found == customers_.end()) {
        return Success{};
    }
    auto &state = found->second;
    if (!state.limit) {
        ++state.operations;
        return Success{};
    }
    refill(state, now);
    state.demand = demandOf(state, now) + 1 / demandSeconds;
    state.demandAt = now;
    const bool admitted = spend(state);
    requestLoan(customer, state, admitted, now);
    if (admitted) {
        ++state.operations;
        return Success{};
    }
    ++state.refused;
    report("limit_refused", customer, state, state.refusals, 1, now);
    return Error{ErrorKind::LimitExceeded, "the customer's rate limit is reached"}.withRetryAfter(retryAfterOf(state));
}

void CustomerLimits::tick(TimePoint now)
{
    if (lastCallAt_ && now - *lastCallAt_ >= pauseThreshold) {
        ++pauses_;
        pauseEndedAt_ = now;
    }
    lastCallAt_ = std::max(lastCallAt_.value_or(now), now);
}

std::vector<LimitEvent> CustomerLimits::takeEvents()
{
    return std::exchange(events_, {});
}

std::vector<CustomerCounts> CustomerLimits::busiest(std::size_t count) const
{
    std::vector<CustomerCounts> counts;
    for (const auto &[name, state] : customers_) {
        if (state.operations + state.refused > 0) {
            counts.push_back({name, state.operations, state.refused});
        }
    }
    const auto end = counts.begin() + static_cast<std::ptrdiff_t>(std::min(count, counts.size()));
    std::partial_sort(counts.begin(), end, counts.end(), [](const auto &left, const auto &right) {
        const auto leftMost = std::max(left.operations, left.refused);
        const auto rightMost = std::max(right.operations, right.refused);
        return leftMost != rightMost ? leftMost > rightMost : left.customer < right.customer;
    });
    counts.erase(end, counts.end());
    return counts;
}

std::optional<LimitStatus> CustomerLimits::status(const CustomerName &customer, TimePoint now)
{
    const auto found = customers_.find(customer);
    if (found == customers_.end() || !found->second.limit) {
        return std::nullopt;
    }
    auto &state = found->second;
    refill(state, now);
    return LimitStatus{*state.limit, available(state), bucketOf(state)};
}

BucketSize CustomerLimits::bucketOf(const State &state) const noexcept
{
    if (!state.limit) {
        return {};
    }
    if (exhausted(state)) {
        return exhaustedBucket(*state.limit, terms_, state.serving.effective());
    }
    auto bucket = shareBucket(*state.limit, terms_, state.serving.effective())
        + provisionalBucket(*state.limit, terms_, state.serving.target() - state.serving.effective());
    if (state.reserve.effective() > 0) {
        bucket = bucket + reserveBucket(*state.limit, terms_);
    }
    return bucket;
}

/// Returns true if the bucket held little for a whole window, so that only its refills were spent in that time.
bool CustomerLimits::exhausted(const State &state) const noexcept
{
    const bool settled = state.serving.effective() == state.serving.target() && state.reserve.target() == 0;
    return settled && state.reserve.effective() == 0 && state.refilledAt - state.lastPlentyAt >= terms_.window;
}

/// Drops all tokens, and the shares until LimitTerms::shareDelay has passed.
void CustomerLimits::withdraw(State &state, TimePoint now) const
{
    state.startsFull = false;
    state.tokens = 0;
    state.borrowed.clear();
    state.serving.restart(now + terms_.shareDelay);
    state.reserve.restart(now + terms_.shareDelay);
    state.refilledAt = now;
    state.lastPlentyAt = now;
}

/// Brings the state to \a now; changes of the share and ends of loans take effect at their own times.
void CustomerLimits::refill(State &state, TimePoint now) const
{
    if (state.pauses != pauses_) {
        state.pauses = pauses_;
        withdraw(state, pauseEndedAt_);
    }
    std::erase_if(state.borrowed, [now](const Loan &loan) { return now >= loan.until; });
    for (;;) {
        auto next = now;
        for (const auto *share : {&state.serving, &state.reserve}) {
            next = std::min(next, share->nextStep().value_or(now));
        }
        for (const auto &loan : state.lent) {
            next = std::min(next, loan.until);
        }
        refillUntil(state, bucketOf(state), next);
        bool changed = std::erase_if(state.lent, [next](const Loan &loan) { return loan.until <= next; }) > 0;
        for (auto *share : {&state.serving, &state.reserve}) {
            if (share->nextStep() && *share->nextStep() <= next) {
                share->step();
                changed = true;
            }
        }
        if (changed) {
            state.lastPlentyAt = next;
            continue;
        }
        const auto lent = lentTokens(state);
        if (state.limit && state.tokens + lent >= exhaustedBucket(*state.limit, terms_, state.serving.effective()).capacity) {
            state.lastPlentyAt = now;
        }
        return;
    }
}

double CustomerLimits::lentTokens(const State &state) noexcept
{
    return std::accumulate(state.lent.begin(), state.lent.end(), 0.0, [](double sum, const Loan &loan) { return sum + loan.tokens; });
}

void CustomerLimits::refillUntil(State &state, const BucketSize &bucket, TimePoint time)
{
    const auto lent = lentTokens(state);
    const auto passed = std::max(seconds(time - state.refilledAt), 0.0);
    state.tokens = std::clamp(state.tokens + bucket.perSecond * passed, 0.0, std::max(bucket.capacity - lent, 0.0));
    state.refilledAt = std::max(state.refilledAt, time);
}

/// Takes a token, borrowed ones first; returns false if there is none.
bool CustomerLimits::spend(State &state)
{
    if (!state.borrowed.empty()) {
        auto &loan = state.borrowed.front();
        loan.tokens -= 1;
        if (loan.tokens < 1) {
            state.borrowed.erase(state.borrowed.begin());
        }
        return true;
    }
    if (state.tokens + tokenTolerance < 1) {
        return false;
    }
    state.tokens -= 1;
    return true;
}

double CustomerLimits::available(const State &state) noexcept
{
    return std::accumulate(
        state.borrowed.begin(), state.borrowed.end(), state.tokens, [](double sum, const Loan &loan) { return sum + loan.tokens; });
}

double CustomerLimits::demandOf(const State &state, TimePoint now) noexcept
{
    return state.demand * std::exp(-std::max(seconds(now - state.demandAt), 0.0) / demandSeconds);
}

/// Returns the time until this proxy's bucket has a token, within bounds, and up to as much again at random, so that callers that are
/// refused together do not return together. It is the shortest while a loan is on its way.
Milliseconds CustomerLimits::retryAfterOf(const State &state)
{
    const auto rate = bucketOf(state).perSecond;
    auto wait = static_cast<double>(maxRetryAfter.count());
    if (state.wantsLoan || state.loanInFlight) {
        wait = 0;
    } else if (rate > 0) {
        wait = std::ceil((1 - state.tokens) / rate * 1000);
    }
    const auto bounded = std::clamp(wait, static_cast<double>(minRetryAfter.count()), static_cast<double>(maxRetryAfter.count()));
    const auto base = static_cast<std::uint64_t>(bounded);
    return Milliseconds{static_cast<std::int64_t>(base + random_.below(base + 1))};
}

void CustomerLimits::report(
    std::string_view name, const CustomerName &customer, State &state, EventCount &eventCount, std::uint64_t count, TimePoint now)
{
    eventCount.count += count;
    if (now < eventCount.nextAt) {
        return;
    }
    events_.push_back({name, customer, std::exchange(eventCount.count, 0), available(state)});
    eventCount.nextAt = now + eventInterval;
}

} // namespace cardamomstep::customers
