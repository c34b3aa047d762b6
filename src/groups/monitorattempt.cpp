// The group monitor's promotion attempts: adoption by a majority, the lead order, and abandonment.
#include "groups/monitor.h"

#include <algorithm>

namespace cardamomstep {

void GroupMonitor::startPromotion(PromotionReason reason, TimePoint detectedAt, TimePoint now)
{
    PromotionPlan plan;
    plan.term = Term{highest_.number + 1, std::max<std::uint64_t>(random_(), 1)};
    plan.reason = reason;
    plan.detectedAt = detectedAt;
    plan.startedAt = now;
    plan.adoptionsUntil = now;
    plan.deadline = now + policy_.attemptTimeout;
    if (reason == PromotionReason::PrimaryStalled) {
        plan.avoid = primary_->member;
        plan.excludeAvoided = true;
        ++stalledPromotions_;
    }
    if (reason == PromotionReason::TermRepair) {
        plan.prefer = primary_->member;
        plan.adoptionsUntil = now + policy_.orderTimeout;
    }
    if (reason == PromotionReason::Switchover) {
        plan.avoid = switchover_.from();
        plan.prefer = switchover_.target();
        plan.adoptionsUntil = now + policy_.orderTimeout;
    }
    highest_ = plan.term;
    recordEvent(AuditEventKind::PromotionStarted, MemberName{}, plan.term, reason);
    promotion_.emplace(plan, trackers_.size());
    trigger_.reset();
    sendPromotionOrders(now);
}

void GroupMonitor::advancePromotion(TimePoint now)
{
    if (!promotion_) {
        return;
    }
    const auto hasHigherTerm = [&](const MemberTracker &tracker) {
        return tracker.report() && tracker.report()->adopted > promotion_->term();
    };
    const auto *candidate = find(promotion_->candidate());
    const bool candidateDown = candidate != nullptr && candidate->isDown();
    if (std::any_of(trackers_.begin(), trackers_.end(), hasHigherTerm) || candidateDown || now >= promotion_->plan().deadline) {
        abandonPromotion(now);
        return;
    }
    chooseCandidate(now);
    sendPromotionOrders(now);
}

void GroupMonitor::chooseCandidate(TimePoint now)
{
    const auto adoptionPending = [&](const MemberTracker &tracker) {
        return reachable(tracker, now) && !promotion_->adoptedBy(tracker.name());
    };
    const bool complete = now >= promotion_->plan().adoptionsUntil || std::none_of(trackers_.begin(), trackers_.end(), adoptionPending);
    promotion_->choose(complete);
}

void GroupMonitor::sendPromotionOrders(TimePoint now)
{
    const auto &plan = promotion_->plan();
    for (auto &tracker : trackers_) {
        const bool excluded = plan.excludeAvoided && tracker.name() == plan.avoid;
        if (!tracker.orderAllowed(now) || tracker.isDown() || excluded) {
            continue;
        }
        if (tracker.name() == promotion_->candidate()) {
            sendOrder(tracker, OrderKind::Lead, plan.term);
        } else if (!promotion_->adoptedBy(tracker.name())) {
            sendOrder(tracker, OrderKind::Adopt, plan.term);
        }
    }
}

void GroupMonitor::sendOrder(MemberTracker &tracker, OrderKind kind, const Term &term)
{
    tracker.orderSent(OutstandingOrder{kind, term});
    if (kind == OrderKind::Adopt) {
        actions_.emplace_back(SendAdopt{tracker.name(), term, policy_.orderTimeout});
    } else if (kind == OrderKind::Lead) {
        actions_.emplace_back(SendLead{tracker.name(), term, policy_.orderTimeout});
    } else {
        const auto &primary = primary_->member;
        const auto member = std::find_if(members_.begin(), members_.end(), [&](const GroupMember &known) { return known.name == primary; });
        actions_.emplace_back(SendFollow{tracker.name(), term, primary, member->address, policy_.orderTimeout});
    }
}

// The delay lets new reports arrive: if another owner's attempt gave the group a primary, the trigger is cleared.
void GroupMonitor::abandonPromotion(TimePoint now)
{
    recordEvent(AuditEventKind::PromotionAbandoned, promotion_->candidate(), promotion_->term(), promotion_->plan().reason);
    promotion_.reset();
    constexpr unsigned maxDoublings = 10;
    const Microseconds maxBackOff = std::min(policy_.backOffMin * (1U << std::min(failedAttempts_, maxDoublings)), policy_.backOffMax);
    ++failedAttempts_;
    const auto half = maxBackOff.count() / 2;
    const Microseconds backOff{half + static_cast<Microseconds::rep>(random_.below(static_cast<std::uint64_t>(half) + 1))};
    backOffUntil_ = now + backOff + rankDelay();
}

} // namespace cardamomstep
