// Whether a promotion is needed, and when this owner may begin one.
#include "groups/monitor.h"

#include <algorithm>

namespace cardamomstep {

namespace {

/// How long before a suspicion the other owners are asked, and how often.
constexpr Milliseconds peerAskLead{40};

} // namespace

void GroupMonitor::refreshNeed(TimePoint now)
{
    if (promotion_) {
        return;
    }
    const auto reason = findNeed(now);
    if (!reason) {
        clearNeed();
        return;
    }
    raiseNeed(*reason, now);
    const auto allowedAt = std::max({startAt_, backOffUntil_, foreignUntil_});
    if (now < allowedAt) {
        return;
    }
    const bool withoutPrimary = *reason == PromotionReason::PrimaryStalled;
    if (reachableMembers(withoutPrimary ? primary_->member : MemberName{}, now) < majority()) {
        return;
    }
    startPromotion(*reason, need_->since, now);
}

void GroupMonitor::raiseNeed(PromotionReason reason, TimePoint now)
{
    if (need_ && need_->reason == reason) {
        return;
    }
    if (primary_) {
        note(NoteKind::PrimarySuspected, primary_->member, primary_->term, reason);
    }
    if (need_) {
        need_->reason = reason;
        return;
    }
    need_ = Need{reason, now};
    startAt_ = now + rankDelay();
    if (reason == PromotionReason::TermRepair) {
        startAt_ += policy_.attemptTimeout;
    }
}

void GroupMonitor::clearNeed()
{
    if (need_ && primary_ && need_->reason != PromotionReason::NoPrimary) {
        note(NoteKind::SuspicionCleared, primary_->member, primary_->term, need_->reason);
    }
    need_.reset();
}

std::optional<PromotionReason> GroupMonitor::findNeed(TimePoint now)
{
    return primary_ ? needWithPrimary(now) : needWithoutPrimary(now);
}

// A member that was not heard yet may be the primary, so its silence must be as certain as a known primary's.
std::optional<PromotionReason> GroupMonitor::needWithoutPrimary(TimePoint now) const
{
    const auto undecided = [&](const MemberWatch &watch) {
        return !watch.report() && !watch.gone() && !silent(watch, now);
    };
    if (std::any_of(watches_.begin(), watches_.end(), undecided)) {
        return std::nullopt;
    }
    const auto adopted = majorityAdopted();
    if (heldBack(adopted, now - policy_.silenceBound - policy_.roundTripAllowance)) {
        return std::nullopt;
    }
    return highest_ == Term{} ? PromotionReason::Bootstrap : PromotionReason::NoPrimary;
}

std::optional<PromotionReason> GroupMonitor::needWithPrimary(TimePoint now)
{
    const auto &watch = *find(primary_->member);
    // Signs of life that others had before the refusal may still arrive within a round trip.
    if (watch.gone() && !heldBack(primary_->term, watch.refusedAt() + policy_.roundTripAllowance)) {
        return PromotionReason::PrimaryGone;
    }
    if (silent(watch, now)) {
        const bool held = heldBack(primary_->term, now - policy_.silenceBound - policy_.roundTripAllowance);
        if (!held) {
            return PromotionReason::PrimarySilent;
        }
        if (!heldBackNoted_) {
            note(NoteKind::SuspicionHeldBack, primary_->member, primary_->term);
        }
        heldBackNoted_ = true;
    } else {
        heldBackNoted_ = false;
    }
    if (primaryStalled(now)) {
        return PromotionReason::PrimaryStalled;
    }
    if (termStranded(now)) {
        return PromotionReason::TermRepair;
    }
    return std::nullopt;
}

// This owner's own verdict is one vote for a dead primary; a suspicion needs more votes for than against it.
bool GroupMonitor::heldBack(const Term &term, TimePoint since) const
{
    const auto votes = suspicion_.votes(term, since);
    const auto dead = votes.dead + 1;
    return votes.alive >= dead;
}

// Replicas that stand still behind the primary although they answer: the primary takes writes that nobody holds.
bool GroupMonitor::primaryStalled(TimePoint now) const
{
    const auto stuck = [&](const MemberWatch &watch) {
        const auto since = watch.stuckSince();
        return watch.name() != primary_->member && reachable(watch, now) && since && now - *since >= replicationBound();
    };
    const auto stuckMembers = static_cast<std::size_t>(std::count_if(watches_.begin(), watches_.end(), stuck));
    return watches_.size() - stuckMembers < majority() && reachableMembers(primary_->member, now) >= majority();
}

// A member that adopted a term which nobody leads refuses the present primary's log.
bool GroupMonitor::termStranded(TimePoint now) const
{
    const auto stranded = [&](const MemberWatch &watch) {
        return reachable(watch, now) && watch.report()->adopted > primary_->term;
    };
    return std::any_of(watches_.begin(), watches_.end(), stranded);
}

Microseconds GroupMonitor::replicationBound() const noexcept
{
    constexpr unsigned largestShift = 16;
    const auto doubled = policy_.stallBound() * (1U << std::min(stalledPromotions_, largestShift));
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
    const auto counts = [&](const MemberWatch &watch) {
        return watch.name() != without && reachable(watch, now);
    };
    return static_cast<std::size_t>(std::count_if(watches_.begin(), watches_.end(), counts));
}

void GroupMonitor::askPeers(TimePoint now)
{
    if (!primary_ || promotion_ || now - peersAskedAt_ < peerAskLead) {
        return;
    }
    const auto &watch = *find(primary_->member);
    const auto askFrom = watch.heardAt() + policy_.suspectAfter() - peerAskLead;
    if (now < askFrom) {
        return;
    }
    peersAskedAt_ = now;
    actions_.emplace_back(AskPeers{});
}

} // namespace cardamomstep
