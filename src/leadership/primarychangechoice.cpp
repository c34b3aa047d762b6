// Chooses the member that leads after a primary change.
#include "leadership/primarychange.h"

#include <algorithm>
#include <limits>

namespace cardamomstep::leadership {

/// True when every proxy has reported all that its instance acknowledged to callers.
bool PrimaryChange::allAcknowledgementsKnown() const
{
    return proxies_ && std::all_of(proxies_->begin(), proxies_->end(), [this](const auto &proxy) {
               const auto found = quiesced_.find(proxy);
               return found != quiesced_.end() && found->second;
           });
}

/// True when the replication of every registered replica that runs was stopped at stopTerm_.
bool PrimaryChange::replicasSettled() const
{
    return std::all_of(members_.begin(), members_.end(), [this](const auto &member) {
        return !isReplica(member.first) || stoppedReplicas_.contains(member.first) || refusedMembers_.contains(member.first);
    });
}

/// Returns the member to promote: one that is not draining and holds all that was acknowledged, otherwise the one with the longest log.
/// While not all acknowledgements are known, only the longest log counts as holding them.
std::optional<PrimaryChange::Candidate> PrimaryChange::bestCandidate() const
{
    std::vector<Candidate> candidates;
    for (const auto &name : stoppedReplicas_) {
        const auto member = members_.find(name);
        const auto status = statuses_.find(name);
        if (member != members_.end() && status != statuses_.end() && !refusedMembers_.contains(name)) {
            candidates.push_back({name, status->second.reply.received, member->second.draining});
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto longest = std::max_element(
        candidates.begin(), candidates.end(), [](const auto &left, const auto &right) { return left.received < right.received; });
    const auto needed = allAcknowledgementsKnown() ? std::min(acknowledged_, longest->received) : longest->received;
    std::optional<Candidate> chosen;
    for (const auto &candidate : candidates) {
        if (candidate.draining || candidate.received < needed) {
            continue;
        }
        if (!chosen || chosen->received < candidate.received) {
            chosen = candidate;
        }
    }
    return chosen ? chosen : std::optional(*longest);
}

/// A leader at a term that no member exceeds is the newest one once every member has answered: one that has not may lead at a higher term.
std::optional<MemberName> PrimaryChange::verifiedLeader() const
{
    const MemberStatus *leader = nullptr;
    std::size_t answered = 0;
    for (const auto &[name, status] : statuses_) {
        if (!members_.contains(name)) {
            continue;
        }
        ++answered;
        if (status.reply.primary && (leader == nullptr || leader->reply.term < status.reply.term)) {
            leader = &status;
        }
    }
    if (leader == nullptr || leader->reply.term < highestTerm_ || leader->reply.received < acknowledged_) {
        return std::nullopt;
    }
    return answered == members_.size() ? std::optional(leader->member) : std::nullopt;
}

/// Returns true if \a member reports that it leads, and no other member can lead at a higher term.
///
/// In a change that is inherited and not contested, a member that leads was the only one promoted; the recorded primary was not.
bool PrimaryChange::leadsUndoubtedly(const MemberName &member) const
{
    const auto status = statuses_.find(member);
    if (status == statuses_.end() || !status->second.reply.primary || status->second.reply.term < highestPossibleTerm()) {
        return false;
    }
    return !inherited() || (!record_.contested && member != record_.primary);
}

void PrimaryChange::chooseMember(PrimaryChangeActions &actions, TimePoint now)
{
    if (confirmsLastPromotion()) {
        startPublishing(unconfirmedPromotions_.back().member);
        return;
    }
    const bool mayVerify = (reason_ == PrimaryChangeReason::Unverified && stoppedReplicas_.empty()) || contestedBefore_;
    if (mayVerify && unconfirmedPromotions_.empty() && now >= promotionsSettledAt_) {
        if (const auto leader = verifiedLeader()) {
            startPublishing(*leader);
            return;
        }
    }
    const auto elapsed = now - gatheringSince_;
    const auto candidate = bestCandidate();
    const auto primary = statuses_.find(record_.primary);
    const bool recordVerified = reason_ != PrimaryChangeReason::Unverified;
    const bool primaryLeads = recordVerified && primary != statuses_.end() && primary->second.reply.primary;
    if (!candidate) {
        // No other member can be promoted; the old primary may continue once its replicas replicate again.
        if (primaryLeads && elapsed >= limits_.memberTimeout && (!planned() || mayBeSuperseded())) {
            usePrimaryAgain(actions, now);
        }
        return;
    }
    const bool lacksAcknowledged = candidate->received < acknowledged_;
    if (lacksAcknowledged && primaryLeads && elapsed >= limits_.memberTimeout) {
        // The old primary holds what was acknowledged to callers; a slow primary is better than lost writes.
        usePrimaryAgain(actions, now);
        return;
    }
    const bool settled = replicasSettled() || (allAcknowledgementsKnown() && elapsed >= limits_.memberTimeout);
    const bool mayPromote = (settled && !lacksAcknowledged) || now - recordedAt_ >= limits_.maxGatheringTime;
    if (!mayPromote) {
        return;
    }
    if (leadsUndoubtedly(candidate->member)) {
        // A promotion requested by an earlier lease holder took effect.
        startPublishing(candidate->member);
        return;
    }
    startPromoting(candidate->member, actions, now);
}

/// Keeps the old primary. If another member may have been promoted, the old primary's own status does not tell; the platform has to
/// promote it as well, which changes nothing if it still leads.
void PrimaryChange::usePrimaryAgain(PrimaryChangeActions &actions, TimePoint now)
{
    if (mayBeSuperseded()) {
        startPromoting(record_.primary, actions, now);
        return;
    }
    startPublishing(record_.primary);
}

/// Requests the promotion of \a member, but not while that of another may still take effect: the later effect would count. That there are
/// two is stored first, for a lease holder that takes over.
void PrimaryChange::startPromoting(const MemberName &member, PrimaryChangeActions &actions, TimePoint now)
{
    const auto isThis = [&member](const auto &promotion) {
        return promotion.member == member;
    };
    const bool onlyThis = !inherited() && std::all_of(unconfirmedPromotions_.begin(), unconfirmedPromotions_.end(), isThis);
    if (now < promotionsSettledAt_ && !onlyThis) {
        return;
    }
    if (!onlyThis && !record_.contested) {
        phase_ = Phase::Contesting;
        retryAt_ = now;
        contesting(actions, now);
        return;
    }
    termFloor_ = termFloorFor(member);
    chosenMember_ = member;
    phase_ = Phase::Promoting;
    actions.emplace_back(PromoteMember{chosenMember_, unconfirmedPromotions_.size()});
    retryAt_ = TimePoint::max();
}

/// Returns the term above which \a member can only lead by a promotion that is requested now; 0 if any term shows that.
std::uint64_t PrimaryChange::termFloorFor(const MemberName &member) const
{
    if (contestedBefore_) {
        // Nobody knows how many promotions there were, so no term is high enough.
        return std::numeric_limits<std::uint64_t>::max();
    }
    const auto status = statuses_.find(member);
    const bool leads = status != statuses_.end() && status->second.reply.primary;
    const bool promotedBefore = std::any_of(unconfirmedPromotions_.begin(), unconfirmedPromotions_.end(), [&member](const auto &promotion) {
        return promotion.member == member;
    });
    if (member != record_.primary && !leads && !promotedBefore) {
        return 0;
    }
    return std::max(highestPossibleTerm(), inherited() ? highestTerm_ + 1 : 0);
}

} // namespace cardamomstep::leadership
