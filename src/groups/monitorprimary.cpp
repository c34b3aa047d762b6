// The group monitor's belief about which member leads, drawn from members' reports alone.
#include "groups/monitor.h"

#include <algorithm>
#include <functional>

namespace cardamomstep {

void GroupMonitor::refreshPrimary(TimePoint now)
{
    const auto superseding = majorityAdopted();
    if (primary_) {
        const auto *watch = find(primary_->member);
        const bool leads = watch != nullptr && watch->report()->role == MemberRole::Primary && watch->report()->adopted == primary_->term;
        if (!leads || superseding > primary_->term) {
            losePrimary();
        }
    }
    const MemberWatch *newest = nullptr;
    for (const auto &watch : watches_) {
        const auto &report = watch.report();
        if (!report || report->role != MemberRole::Primary || report->adopted < superseding) {
            continue;
        }
        if (newest == nullptr || report->adopted > newest->report()->adopted) {
            newest = &watch;
        }
    }
    if (newest != nullptr && (!primary_ || newest->report()->adopted > primary_->term)) {
        believe(*newest, now);
    }
}

void GroupMonitor::believe(const MemberWatch &watch, TimePoint now)
{
    const auto &report = *watch.report();
    PrimaryChanged change{watch.name(), report.adopted, PromotionReason::Observed, previousPrimary_, now, now};
    const bool own = promotion_ && promotion_->term() == report.adopted;
    if (own) {
        change.reason = promotion_->plan().reason;
        change.detectedAt = promotion_->plan().detectedAt;
        change.startedAt = promotion_->plan().startedAt;
        promotion_.reset();
    }
    primary_ = PrimaryView{watch.name(), report.adopted};
    previousPrimary_ = watch.name();
    actions_.emplace_back(change);
    clearNeed();
    for (auto &other : watches_) {
        other.followAt = own ? now : now + policy_.followRetry + rank_ * policy_.rankStagger;
    }
}

void GroupMonitor::losePrimary()
{
    note(NoteKind::PrimaryLost, primary_->member, primary_->term);
    primary_.reset();
}

void GroupMonitor::confirmPrimary()
{
    if (!primary_ || primary_->confirmed) {
        return;
    }
    const auto holds = [&](const MemberWatch &watch) {
        return watch.report() && watch.report()->log.term == primary_->term;
    };
    const auto holders = static_cast<std::size_t>(std::count_if(watches_.begin(), watches_.end(), holds));
    if (holders < majority()) {
        return;
    }
    primary_->confirmed = true;
    failedAttempts_ = 0;
    stalledPromotions_ = 0;
    note(NoteKind::PrimaryConfirmed, primary_->member, primary_->term);
}

void GroupMonitor::refreshReplication(TimePoint now)
{
    const auto log = primaryLog();
    for (auto &watch : watches_) {
        watch.onPrimaryLog(log, now);
    }
}

Term GroupMonitor::majorityAdopted() const
{
    std::vector<Term> adopted;
    for (const auto &watch : watches_) {
        adopted.push_back(watch.report() ? watch.report()->adopted : Term{});
    }
    std::sort(adopted.begin(), adopted.end(), std::greater<>());
    return adopted.empty() ? Term{} : adopted[majority() - 1];
}

Mark GroupMonitor::primaryLog() const
{
    if (!primary_) {
        return {};
    }
    const auto *watch = find(primary_->member);
    return std::max(watch->report()->log, suspicion_.furthestLog(primary_->member, primary_->term));
}

} // namespace cardamomstep
