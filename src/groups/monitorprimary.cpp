// Determines the group's primary, only from members' reports.
#include "groups/monitor.h"

#include <algorithm>
#include <functional>

namespace cardamomstep {

void GroupMonitor::refreshPrimary(TimePoint now)
{
    const auto superseding = majorityAdopted();
    if (primary_) {
        const auto *tracker = find(primary_->member);
        const bool leads =
            tracker != nullptr && tracker->report()->role == MemberRole::Primary && tracker->report()->adopted == primary_->term;
        if (!leads || superseding > primary_->term) {
            clearPrimary();
        }
    }
    const MemberTracker *newest = nullptr;
    for (const auto &tracker : trackers_) {
        const auto &report = tracker.report();
        if (!report || report->role != MemberRole::Primary || report->adopted < superseding) {
            continue;
        }
        if (newest == nullptr || report->adopted > newest->report()->adopted) {
            newest = &tracker;
        }
    }
    if (newest != nullptr && (!primary_ || newest->report()->adopted > primary_->term)) {
        setPrimary(*newest, now);
    }
}

void GroupMonitor::setPrimary(const MemberTracker &tracker, TimePoint now)
{
    const auto &report = *tracker.report();
    PrimaryChanged change{tracker.name(), report.adopted, PromotionReason::Observed, previousPrimary_, now, now};
    const bool ownAttempt = promotion_ && promotion_->term() == report.adopted;
    if (ownAttempt) {
        change.reason = promotion_->plan().reason;
        change.detectedAt = promotion_->plan().detectedAt;
        change.startedAt = promotion_->plan().startedAt;
        promotion_.reset();
    }
    primary_ = PrimaryInfo{tracker.name(), report.adopted};
    previousPrimary_ = tracker.name();
    actions_.emplace_back(change);
    clearTrigger();
    for (auto &other : trackers_) {
        other.followAllowedAt = ownAttempt ? now : now + policy_.followRetry + rank_ * policy_.rankStagger;
    }
}

void GroupMonitor::clearPrimary()
{
    recordEvent(AuditEventKind::PrimaryLost, primary_->member, primary_->term);
    primary_.reset();
}

void GroupMonitor::confirmPrimary()
{
    if (!primary_ || primary_->confirmed) {
        return;
    }
    const auto hasStartEntry = [&](const MemberTracker &tracker) {
        return tracker.report() && tracker.report()->log.term == primary_->term;
    };
    const auto replicatedMembers = static_cast<std::size_t>(std::count_if(trackers_.begin(), trackers_.end(), hasStartEntry));
    if (replicatedMembers < majority()) {
        return;
    }
    primary_->confirmed = true;
    failedAttempts_ = 0;
    stalledPromotions_ = 0;
    recordEvent(AuditEventKind::PrimaryConfirmed, primary_->member, primary_->term);
}

void GroupMonitor::refreshReplication(TimePoint now)
{
    const auto log = primaryLog();
    for (auto &tracker : trackers_) {
        tracker.onPrimaryLog(log, now);
    }
}

Term GroupMonitor::majorityAdopted() const
{
    std::vector<Term> adopted;
    for (const auto &tracker : trackers_) {
        adopted.push_back(tracker.report() ? tracker.report()->adopted : Term{});
    }
    std::sort(adopted.begin(), adopted.end(), std::greater<>());
    return adopted.empty() ? Term{} : adopted[majority() - 1];
}

LogPosition GroupMonitor::primaryLog() const
{
    if (!primary_) {
        return {};
    }
    const auto *tracker = find(primary_->member);
    return std::max(tracker->report()->log, peerObservations_.furthestLog(primary_->member, primary_->term));
}

} // namespace cardamomstep
