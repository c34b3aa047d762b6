// The group monitor's steady work: reports, members that must follow, planned switchovers, and the next wake-up.
#include "groups/monitor.h"

#include <algorithm>

namespace cardamomstep {

namespace {

/// How long a member that was not told to follow may stand still behind the primary.
constexpr Milliseconds followDelay{50};
/// How long one that was told may; telling it again may cost it what is under way.
constexpr Milliseconds followRecheck{10'000};

} // namespace

void GroupMonitor::redirectMembers(TimePoint now)
{
    if (!primary_ || promotion_ || find(primary_->member)->gone()) {
        return;
    }
    for (auto &watch : watches_) {
        if (!mustFollow(watch, now) || now < watch.followAt || !watch.orderAllowed(now)) {
            continue;
        }
        watch.followAt = now + policy_.followRetry;
        if (watch.report()->adopted < primary_->term) {
            note(NoteKind::MemberRedirected, watch.name(), primary_->term);
        }
        sendOrder(watch, OrderKind::Follow, primary_->term);
    }
}

// A replica that adopted the term says nothing on whom it follows: one without an entry of the term, or one that
// stands still behind the primary, is told. It is not told again for being slow.
bool GroupMonitor::mustFollow(const MemberWatch &watch, TimePoint now) const
{
    if (watch.name() == primary_->member || !reachable(watch, now)) {
        return false;
    }
    const auto &report = *watch.report();
    if (report.adopted != primary_->term) {
        return report.adopted < primary_->term;
    }
    const auto since = watch.stuckSince();
    if (watch.follows(primary_->term)) {
        return since && now - *since >= followRecheck;
    }
    return report.log.term != primary_->term || (since && now - *since >= followDelay);
}

void GroupMonitor::sendReports(TimePoint now)
{
    for (auto &watch : watches_) {
        if (!watch.reportDue(now)) {
            continue;
        }
        watch.reportSent();
        const auto wait = watch.reportAtOnce() ? Milliseconds{0} : policy_.reportWait(isPrimary(watch.name()));
        actions_.emplace_back(SendReport{watch.name(), wait, policy_.probeTimeout});
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
            endSwitchover(NoteKind::SwitchoverFinished, now);
        } else if (!promotion_) {
            endSwitchover(NoteKind::SwitchoverAbandoned, now);
        }
        return;
    }
    if (!leads || need_ || !primaryLeaving()) {
        endSwitchover(NoteKind::SwitchoverAbandoned, now);
        return;
    }
    std::vector<MemberReport> reports;
    for (const auto &watch : watches_) {
        if (reachable(watch, now)) {
            reports.push_back(*watch.report());
        }
    }
    const auto step = switchover_.advance(reports, primary_->term, policy_, now);
    if (step == SwitchoverStep::Abandon) {
        endSwitchover(NoteKind::SwitchoverAbandoned, now);
    } else if (step == SwitchoverStep::HandOver && reports.size() >= majority()) {
        switchover_.promoting();
        startPromotion(PromotionReason::Switchover, now, now);
    }
}

bool GroupMonitor::primaryLeaving() const
{
    return find(primary_->member)->report()->leaving || leaving_ == primary_->member;
}

void GroupMonitor::startSwitchover(TimePoint now)
{
    if (!primary_ || promotion_ || need_) {
        return;
    }
    const bool leaving = primaryLeaving();
    if (leaving && !primaryLeaves_) {
        switchoverAllowedAt_ = std::max(switchoverAllowedAt_, now + rank_ * policy_.holdLimit);
    }
    primaryLeaves_ = leaving;
    const auto mayLead = [&](const MemberWatch &watch) {
        return watch.name() != primary_->member && reachable(watch, now) && !watch.report()->leaving;
    };
    const bool possible = std::any_of(watches_.begin(), watches_.end(), mayLead);
    if (!leaving || now < switchoverAllowedAt_ || !possible || !primary_->confirmed) {
        return;
    }
    switchover_.start(primary_->member, policy_, now);
    note(NoteKind::SwitchoverStarted, primary_->member, primary_->term, PromotionReason::Switchover);
    actions_.emplace_back(HoldWrites{switchover_.deadline()});
}

void GroupMonitor::endSwitchover(NoteKind kind, TimePoint now)
{
    note(kind, switchover_.from(), primary_ ? primary_->term : Term{}, PromotionReason::Switchover);
    switchover_.finish();
    if (kind == NoteKind::SwitchoverFinished) {
        leaving_ = MemberName{};
        primaryLeaves_ = false;
        abandonedSwitchovers_ = 0;
        actions_.emplace_back(ReleaseWrites{});
        return;
    }
    constexpr unsigned largestShift = 3;
    switchoverAllowedAt_ = now + policy_.switchoverRetry * (1U << std::min(abandonedSwitchovers_, largestShift));
    ++abandonedSwitchovers_;
    actions_.emplace_back(ReleaseWrites{});
}

void GroupMonitor::planWake(TimePoint now)
{
    wake_ = now + policy_.heartbeatInterval;
    for (const auto &watch : watches_) {
        wakeAt(watch.heardAt() + policy_.suspectAfter(isPrimary(watch.name())), now);
        if (const auto reportAt = watch.nextReportAt()) {
            wakeAt(*reportAt, now);
        }
        if (!watch.order()) {
            wakeAt(watch.nextOrderAt(), now);
        }
        if (const auto since = watch.stuckSince()) {
            wakeAt(*since + replicationBound(), now);
            wakeAt(*since + followDelay, now);
        }
        wakeAt(watch.followAt, now);
    }
    if (need_) {
        wakeAt(std::max({startAt_, backOffUntil_, foreignUntil_}), now);
    }
    if (promotion_) {
        wakeAt(promotion_->plan().patientUntil, now);
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
