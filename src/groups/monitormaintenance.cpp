// The group monitor's maintenance: reports, follow orders, planned switchovers, and the next wake-up.
#include "groups/monitor.h"

#include <algorithm>

namespace cardamomstep {

namespace {

/// How long a member without an accepted follow order may be behind the primary without progress before it gets the order.
constexpr Milliseconds followDelay{50};
/// How long a member that accepted the order may be behind without progress before it gets the order again. Longer, because the
/// repeated order may discard a transfer in progress.
constexpr Milliseconds followRecheck{10'000};

} // namespace

void GroupMonitor::redirectMembers(TimePoint now)
{
    if (!primary_ || promotion_ || find(primary_->member)->isDown()) {
        return;
    }
    for (auto &tracker : trackers_) {
        if (!mustFollow(tracker, now) || now < tracker.followAllowedAt || !tracker.orderAllowed(now)) {
            continue;
        }
        tracker.followAllowedAt = now + policy_.followRetry;
        if (tracker.report()->adopted < primary_->term) {
            recordEvent(AuditEventKind::MemberRedirected, tracker.name(), primary_->term);
        }
        sendOrder(tracker, OrderKind::Follow, primary_->term);
    }
}

// The report of a replica that adopted the term does not say whom it follows. So a replica gets the follow order when its log does not
// end at the term, or when it is behind the primary without progress. Slow progress alone does not repeat the order.
bool GroupMonitor::mustFollow(const MemberTracker &tracker, TimePoint now) const
{
    if (tracker.name() == primary_->member || !reachable(tracker, now)) {
        return false;
    }
    const auto &report = *tracker.report();
    if (report.adopted != primary_->term) {
        return report.adopted < primary_->term;
    }
    const auto since = tracker.stalledSince();
    if (tracker.follows(primary_->term)) {
        return since && now - *since >= followRecheck;
    }
    return report.log.term != primary_->term || (since && now - *since >= followDelay);
}

void GroupMonitor::sendReports(TimePoint now)
{
    for (auto &tracker : trackers_) {
        if (!tracker.reportDue(now)) {
            continue;
        }
        tracker.reportSent();
        const auto wait = tracker.reportAtOnce() ? Milliseconds{0} : policy_.reportWait(mayBePrimary(tracker.name()));
        actions_.emplace_back(SendReport{tracker.name(), wait, policy_.probeTimeout});
    }
}

void GroupMonitor::advanceSwitchover(TimePoint now)
{
    if (!switchover_.active()) {
        startSwitchover(now);
        return;
    }
    const bool leads = primary_ && primary_->member == switchover_.from();
    if (switchover_.step() == SwitchoverStep::Promote) {
        if (primary_ && !leads) {
            endSwitchover(AuditEventKind::SwitchoverFinished, now);
        } else if (!promotion_) {
            endSwitchover(AuditEventKind::SwitchoverAbandoned, now);
        }
        return;
    }
    if (!leads || trigger_ || !primaryLeaving()) {
        endSwitchover(AuditEventKind::SwitchoverAbandoned, now);
        return;
    }
    std::vector<MemberReport> reports;
    for (const auto &tracker : trackers_) {
        if (reachable(tracker, now)) {
            reports.push_back(*tracker.report());
        }
    }
    const auto step = switchover_.advance(reports, primary_->term, policy_, now);
    if (step == SwitchoverStep::Abandon) {
        endSwitchover(AuditEventKind::SwitchoverAbandoned, now);
    } else if (step == SwitchoverStep::HandOver && reports.size() >= majority()) {
        switchover_.onPromotionStarted();
        startPromotion(PromotionReason::Switchover, now, now);
    }
}

bool GroupMonitor::primaryLeaving() const
{
    return find(primary_->member)->report()->leaving || requestedLeaving_ == primary_->member;
}

void GroupMonitor::startSwitchover(TimePoint now)
{
    if (!primary_ || promotion_ || trigger_) {
        return;
    }
    const bool leaving = primaryLeaving();
    if (leaving && !primaryWasLeaving_) {
        switchoverAllowedAt_ = std::max(switchoverAllowedAt_, now + rank_ * policy_.holdLimit);
    }
    primaryWasLeaving_ = leaving;
    const auto mayLead = [&](const MemberTracker &tracker) {
        return tracker.name() != primary_->member && reachable(tracker, now) && !tracker.report()->leaving;
    };
    const bool possible = std::any_of(trackers_.begin(), trackers_.end(), mayLead);
    if (!leaving || now < switchoverAllowedAt_ || !possible || !primary_->confirmed) {
        return;
    }
    switchover_.start(primary_->member, policy_, now);
    recordEvent(AuditEventKind::SwitchoverStarted, primary_->member, primary_->term, PromotionReason::Switchover);
    actions_.emplace_back(PauseWrites{switchover_.deadline()});
}

void GroupMonitor::endSwitchover(AuditEventKind kind, TimePoint now)
{
    recordEvent(kind, switchover_.from(), primary_ ? primary_->term : Term{}, PromotionReason::Switchover);
    switchover_.finish();
    if (kind == AuditEventKind::SwitchoverFinished) {
        requestedLeaving_ = MemberName{};
        primaryWasLeaving_ = false;
        abandonedSwitchovers_ = 0;
        actions_.emplace_back(ResumeWrites{});
        return;
    }
    constexpr unsigned maxDoublings = 3;
    switchoverAllowedAt_ = now + policy_.switchoverRetry * (1U << std::min(abandonedSwitchovers_, maxDoublings));
    ++abandonedSwitchovers_;
    actions_.emplace_back(ResumeWrites{});
}

void GroupMonitor::planWake(TimePoint now)
{
    wake_ = now + policy_.heartbeatInterval;
    for (const auto &tracker : trackers_) {
        wakeAt(tracker.lastContactAt() + policy_.suspectAfter(mayBePrimary(tracker.name())), now);
        if (const auto reportAt = tracker.nextReportAt()) {
            wakeAt(*reportAt, now);
        }
        if (!tracker.order()) {
            wakeAt(tracker.nextOrderAt(), now);
        }
        if (const auto since = tracker.stalledSince()) {
            wakeAt(*since + replicationBound(), now);
            wakeAt(*since + followDelay, now);
        }
        wakeAt(tracker.followAllowedAt, now);
    }
    if (trigger_) {
        wakeAt(std::max({attemptAllowedAt_, backOffUntil_, peerAttemptUntil_}), now);
    }
    if (promotion_) {
        wakeAt(promotion_->plan().adoptionsUntil, now);
        wakeAt(promotion_->plan().deadline, now);
    }
    if (switchover_.active()) {
        wakeAt(now + policy_.quietTime, now);
        wakeAt(switchover_.deadline(), now);
    }
}

void GroupMonitor::wakeAt(TimePoint when, TimePoint now) noexcept
{
    if (when > now) {
        wake_ = std::min(wake_, when);
    }
}

} // namespace cardamomstep
