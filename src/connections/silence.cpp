// Detection of silent connections.
#include "connections/silence.h"

#include <algorithm>

namespace cardamomstep {

namespace {

/// Pause between probes of a suspect member, in times of overdueAfter().
constexpr int probePause = 2;

} // namespace

void SilenceDetector::began(ConnectionKey key, TimePoint now, Microseconds extra)
{
    closed(key);
    exchanges_.push_back(Exchange{key, now, now + overdueAfter() + extra});
}

std::vector<SilenceAction> SilenceDetector::replied(ConnectionKey key, TimePoint now)
{
    std::vector<SilenceAction> actions;
    const auto found = std::find_if(exchanges_.begin(), exchanges_.end(), [&](const Exchange &exchange) { return exchange.key == key; });
    if (found == exchanges_.end()) {
        return actions;
    }
    replyTime_.observe(now - found->began);
    exchanges_.erase(found);
    clearSuspicion(actions);
    return actions;
}

void SilenceDetector::closed(ConnectionKey key)
{
    const auto gone = std::remove_if(exchanges_.begin(), exchanges_.end(), [&](const Exchange &exchange) { return exchange.key == key; });
    exchanges_.erase(gone, exchanges_.end());
}

std::vector<SilenceAction> SilenceDetector::probeReplied(TimePoint now)
{
    std::vector<SilenceAction> actions;
    if (!probeBegan_) {
        return actions;
    }
    for (const auto &exchange : exchanges_) {
        if (exchange.overdueAt <= *probeBegan_) {
            actions.emplace_back(CloseSilentConnection{exchange.key});
        }
    }
    for (const auto &action : actions) {
        closed(std::get<CloseSilentConnection>(action).key);
    }
    probeBegan_.reset();
    nextProbe_ = now;
    clearSuspicion(actions);
    return actions;
}

std::vector<SilenceAction> SilenceDetector::probeFailed(TimePoint now)
{
    std::vector<SilenceAction> actions;
    if (!probeBegan_) {
        return actions;
    }
    probeBegan_.reset();
    nextProbe_ = now + probePause * overdueAfter();
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
    probeBegan_ = now;
    actions.emplace_back(ProbeMember{suspect});
    return actions;
}

std::optional<TimePoint> SilenceDetector::nextWake() const noexcept
{
    if (probeBegan_) {
        return std::nullopt;
    }
    if (memberSuspect_) {
        return nextProbe_;
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
