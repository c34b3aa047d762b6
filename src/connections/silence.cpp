// Detection of silent connections.
#include "connections/silence.h"

#include <algorithm>

namespace cardamomstep {

namespace {

/// Interval between probes of a suspected member, in multiples of overdueAfter().
constexpr int probeIntervalFactor = 2;

} // namespace

void SilenceDetector::exchangeStarted(ConnectionKey key, TimePoint now, Microseconds extraTime)
{
    closed(key);
    exchanges_.push_back(Exchange{key, now, now + overdueAfter() + extraTime});
}

std::vector<SilenceAction> SilenceDetector::replied(ConnectionKey key, TimePoint now)
{
    std::vector<SilenceAction> actions;
    const auto found = std::find_if(exchanges_.begin(), exchanges_.end(), [&](const Exchange &exchange) { return exchange.key == key; });
    if (found == exchanges_.end()) {
        return actions;
    }
    replyTime_.observe(now - found->startedAt);
    exchanges_.erase(found);
    clearSuspicion(actions);
    return actions;
}

void SilenceDetector::closed(ConnectionKey key)
{
    const auto removed =
        std::remove_if(exchanges_.begin(), exchanges_.end(), [&](const Exchange &exchange) { return exchange.key == key; });
    exchanges_.erase(removed, exchanges_.end());
}

std::vector<SilenceAction> SilenceDetector::probeReplied(TimePoint now)
{
    std::vector<SilenceAction> actions;
    if (!probeStartedAt_) {
        return actions;
    }
    for (const auto &exchange : exchanges_) {
        if (exchange.overdueAt <= *probeStartedAt_) {
            actions.emplace_back(CloseSilentConnection{exchange.key});
        }
    }
    for (const auto &action : actions) {
        closed(std::get<CloseSilentConnection>(action).key);
    }
    probeStartedAt_.reset();
    nextProbeAt_ = now;
    clearSuspicion(actions);
    return actions;
}

std::vector<SilenceAction> SilenceDetector::probeFailed(TimePoint now)
{
    std::vector<SilenceAction> actions;
    if (!probeStartedAt_) {
        return actions;
    }
    probeStartedAt_.reset();
    nextProbeAt_ = now + probeIntervalFactor * overdueAfter();
    if (!memberSuspect_) {
        memberSuspect_ = true;
        actions.emplace_back(MemberSuspected{});
    }
    return actions;
}

std::vector<SilenceAction> SilenceDetector::wake(TimePoint now)
{
    std::vector<SilenceAction> actions;
    const auto due = nextWake();
    if (!due || now < *due) {
        return actions;
    }
    ConnectionKey suspect = 0;
    for (const auto &exchange : exchanges_) {
        if (exchange.overdueAt <= now) {
            suspect = exchange.key;
            break;
        }
    }
    probeStartedAt_ = now;
    actions.emplace_back(ProbeMember{suspect});
    return actions;
}

std::optional<TimePoint> SilenceDetector::nextWake() const noexcept
{
    if (probeStartedAt_) {
        return std::nullopt;
    }
    if (memberSuspect_) {
        return nextProbeAt_;
    }
    std::optional<TimePoint> first;
    for (const auto &exchange : exchanges_) {
        first = first ? std::min(*first, exchange.overdueAt) : exchange.overdueAt;
    }
    return first;
}

Microseconds SilenceDetector::overdueAfter() const noexcept
{
    const Microseconds minTime = limits_.minOverdueTime;
    const Microseconds maxTime = limits_.maxOverdueTime;
    if (!replyTime_.observed()) {
        return maxTime;
    }
    return std::clamp(replyTime_.withMargin(limits_.overdueDeviations), minTime, maxTime);
}

void SilenceDetector::clearSuspicion(std::vector<SilenceAction> &actions)
{
    if (memberSuspect_) {
        memberSuspect_ = false;
        actions.emplace_back(MemberRecovered{});
    }
}

} // namespace cardamomstep
