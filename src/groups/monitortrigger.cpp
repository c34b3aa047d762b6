// Whether a promotion is needed, and when this owner may start one.
#include "groups/monitor.h"

#include <algorithm>

namespace cardamomstep {

namespace {

/// How long before a suspicion the other owners are queried, and the minimum interval of these queries.
constexpr Milliseconds peerQueryLead{40};

} // namespace

void GroupMonitor::refreshTrigger(TimePoint now)
{
    if (promotion_) {
        return;
    }
    const auto reason = findTrigger(now);
    if (!reason) {
        clearTrigger();
        return;
    }
    raiseTrigger(*reason, now);
    const auto allowedAt = std::max({attemptAllowedAt_, backOffUntil_, peerAttemptUntil_});
    if (now < allowedAt) {
        return;
    }
    const bool excludePrimary = *reason == PromotionReason::PrimaryStalled;
    if (reachableMembers(excludePrimary ? primary_->member : MemberName{}, now) < majority()) {
        return;
    }
    startPromotion(*reason, trigger_->since, now);
}

void GroupMonitor::raiseTrigger(PromotionReason reason, TimePoint now)
{
    if (trigger_ && trigger_->reason == reason) {
        return;
    }
    if (primary_) {
        recordEvent(AuditEventKind::PrimarySuspected, primary_->member, primary_->term, reason);
    }
    const auto suspect = primary_ ? primary_->member : MemberName{};
    const auto suspectTerm = primary_ ? primary_->term : Term{};
    if (trigger_) {
        *trigger_ = PromotionTrigger{reason, trigger_->since, suspect, suspectTerm};
        return;
    }
    trigger_ = PromotionTrigger{reason, now, suspect, suspectTerm};
    attemptAllowedAt_ = now + rankDelay();
    if (reason == PromotionReason::TermRepair) {
        attemptAllowedAt_ += policy_.attemptTimeout;
    }
}

void GroupMonitor::clearTrigger()
{
    if (trigger_ && !trigger_->suspect.empty() && trigger_->reason != PromotionReason::NoPrimary) {
        recordEvent(AuditEventKind::SuspicionCleared, trigger_->suspect, trigger_->suspectTerm, trigger_->reason);
    }
    trigger_.reset();
}

std::optional<PromotionReason> GroupMonitor::findTrigger(TimePoint now)
{
    return primary_ ? triggerWithPrimary(now) : triggerWithoutPrimary(now);
}

// A member that has not reported yet may be the primary, so its silence must last as long as a known primary's.
std::optional<PromotionReason> GroupMonitor::triggerWithoutPrimary(TimePoint now) const
{
    const auto isUndecided = [&](const MemberTracker &tracker) {
        return !tracker.report() && !tracker.isDown() && !silent(tracker, now);
    };
    if (std::any_of(trackers_.begin(), trackers_.end(), isUndecided)) {
        return std::nullopt;
    }
    const auto adopted = majorityAdopted();
    if (overruledByPeers(adopted, now - policy_.silenceBound - policy_.roundTripAllowance)) {
        return std::nullopt;
    }
    return highest_ == Term{} ? PromotionReason::Bootstrap : PromotionReason::NoPrimary;
}

std::optional<PromotionReason> GroupMonitor::triggerWithPrimary(TimePoint now)
{
    const auto &tracker = *find(primary_->member);
    // Observations of contact before the refusal may still arrive from other owners within a round trip.
    if (tracker.isDown() && !overruledByPeers(primary_->term, tracker.refusedAt() + policy_.roundTripAllowance)) {
        return PromotionReason::PrimaryDown;
    }
    if (silent(tracker, now)) {
        const bool overruled = overruledByPeers(primary_->term, now - policy_.silenceBound - policy_.roundTripAllowance);
        if (!overruled) {
            return PromotionReason::PrimarySilent;
        }
        if (!overrulingRecorded_) {
            recordEvent(AuditEventKind::SuspicionOverruled, primary_->member, primary_->term);
        }
        overrulingRecorded_ = true;
    } else {
        overrulingRecorded_ = false;
    }
    if (primaryStalled(now)) {
        return PromotionReason::PrimaryStalled;
    }
    if (needsTermRepair(now)) {
        return PromotionReason::TermRepair;
    }
    return std::nullopt;
}

// This owner's suspicion counts as one vote for a dead primary; a promotion needs more votes for it than against it.
bool GroupMonitor::overruledByPeers(const Term &term, TimePoint since) const
{
    const auto votes = peerObservations_.votes(term, since);
    const auto dead = votes.dead + 1;
    return votes.alive >= dead;
}

// True when too many reachable replicas are behind the primary without progress: it accepts writes that reach no majority.
bool GroupMonitor::primaryStalled(TimePoint now) const
{
    const auto stalled = [&](const MemberTracker &tracker) {
        const auto since = tracker.stalledSince();
        return tracker.name() != primary_->member && reachable(tracker, now) && since && now - *since >= replicationBound();
    };
    const auto stalledMembers = static_cast<std::size_t>(std::count_if(trackers_.begin(), trackers_.end(), stalled));
    return trackers_.size() - stalledMembers < majority() && reachableMembers(primary_->member, now) >= majority();
}

// A member that adopted a term without a primary refuses the current primary's log.
bool GroupMonitor::needsTermRepair(TimePoint now) const
{
    const auto hasHigherTerm = [&](const MemberTracker &tracker) {
        return reachable(tracker, now) && tracker.report()->adopted > primary_->term;
    };
    return std::any_of(trackers_.begin(), trackers_.end(), hasHigherTerm);
}

Microseconds GroupMonitor::replicationBound() const noexcept
{
    constexpr unsigned maxDoublings = 16;
    const auto doubled = policy_.stallBound() * (1U << std::min(stalledPromotions_, maxDoublings));
    return std::min(doubled, std::max(policy_.replicationBoundLimit, policy_.stallBound()));
}

Microseconds GroupMonitor::rankDelay()
{
    if (rank_ == 0) {
        return Microseconds{0};
    }
    const Microseconds jitter = policy_.jitter;
    return rank_ * policy_.rankStagger + Microseconds{random_.below(static_cast<std::uint64_t>(jitter.count()))};
}

std::size_t GroupMonitor::reachableMembers(const MemberName &without, TimePoint now) const
{
    const auto isCounted = [&](const MemberTracker &tracker) {
        return tracker.name() != without && reachable(tracker, now);
    };
    return static_cast<std::size_t>(std::count_if(trackers_.begin(), trackers_.end(), isCounted));
}

void GroupMonitor::queryPeers(TimePoint now)
{
    if (!primary_ || promotion_ || now - peersQueriedAt_ < peerQueryLead) {
        return;
    }
    const auto &tracker = *find(primary_->member);
    const auto queryFrom = tracker.lastContactAt() + policy_.suspectAfter() - peerQueryLead;
    if (now < queryFrom) {
        return;
    }
    peersQueriedAt_ = now;
    actions_.emplace_back(QueryPeers{});
}

} // namespace cardamomstep
