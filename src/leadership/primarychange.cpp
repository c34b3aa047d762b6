// The steps of a primary change.
#include "leadership/primarychange.h"

#include <algorithm>

namespace cardamomstep::leadership {

PrimaryChange::PrimaryChange(
    GroupRecord record, PrimaryChangeReason reason, TimePoint now, TimePoint inheritedSettledAt, const PrimaryChangeLimits &limits)
    : limits_(limits)
    , record_(std::move(record))
    , reason_(reason)
    , startedAt_(now)
    , recordedAt_(now)
    , gatheringSince_(now)
{
    if (record_.changeInProgress) {
        phase_ = Phase::Gathering;
        contestedBefore_ = record_.contested;
    }
    if (inherited()) {
        promotionsSettledAt_ = inheritedSettledAt;
    }
    record_.changeInProgress = true;
}

void PrimaryChange::onAcknowledged(const LogPosition &acknowledged)
{
    acknowledged_ = std::max(acknowledged_, acknowledged);
}

void PrimaryChange::setMembers(const std::vector<relay::MemberEntry> &members)
{
    members_.clear();
    for (const auto &member : members) {
        members_.emplace(member.name, member);
    }
}

void PrimaryChange::recorded(Revision revision, TimePoint now)
{
    record_.revision = revision;
    if (phase_ == Phase::Recording) {
        phase_ = Phase::Gathering;
        recordedAt_ = now;
        gatheringSince_ = now;
    } else if (phase_ == Phase::Contesting) {
        // What the members reported meanwhile counts for the choice.
        record_.contested = true;
        phase_ = Phase::Gathering;
    } else if (phase_ == Phase::Publishing) {
        phase_ = Phase::Finished;
    }
    retryAt_ = now;
}

void PrimaryChange::recordFailed(bool conflict, TimePoint now)
{
    if (conflict) {
        phase_ = Phase::Finished;
    }
    retryAt_ = now + limits_.retryInterval;
}

void PrimaryChange::proxiesListed(const std::vector<InstanceName> &proxies, TimePoint now)
{
    proxies_ = std::set<InstanceName>(proxies.begin(), proxies.end());
    advanceRetry(now);
}

void PrimaryChange::quiesced(const InstanceName &proxy, const LogPosition &acknowledged, Milliseconds uptime, TimePoint now)
{
    quiesced_[proxy] = uptime >= limits_.minHistoryUptime;
    onAcknowledged(acknowledged);
    if (proxiesSettled(now)) {
        advanceRetry(now);
    }
}

/// Makes the requests of the gathering phase due at once; a later phase must not repeat its requests for each update about proxies.
void PrimaryChange::advanceRetry(TimePoint now)
{
    if (phase_ == Phase::Gathering) {
        retryAt_ = std::min(retryAt_, now);
    }
}

void PrimaryChange::noteStatus(const MemberStatus &status)
{
    statuses_[status.member] = status;
    refusedMembers_.erase(status.member);
    highestTerm_ = std::max({highestTerm_, status.reply.term, status.reply.received.term.number});
}

void PrimaryChange::memberStatus(const MemberStatus &status)
{
    noteStatus(status);
}

void PrimaryChange::replicationStopped(const MemberStatus &status, std::uint64_t term)
{
    noteStatus(status);
    if (term == stopTerm_) {
        stoppedReplicas_.insert(status.member);
    }
}

void PrimaryChange::promoted(const MemberName &member, PromotionOutcome outcome, TimePoint now)
{
    if (phase_ != Phase::Promoting || member != chosenMember_) {
        return;
    }
    switch (outcome) {
    case PromotionOutcome::Accepted:
        noteUnconfirmedPromotion(now);
        statuses_.erase(member);
        phase_ = Phase::Confirming;
        promotedAt_ = now;
        retryAt_ = now;
        return;
    case PromotionOutcome::Refused:
        statuses_.erase(member);
        stoppedReplicas_.erase(member);
        refusedMembers_.insert(member);
        phase_ = Phase::Gathering;
        retryAt_ = now;
        if (!unconfirmedPromotions_.empty()) {
            gatherAgain(now);
        }
        return;
    case PromotionOutcome::Unknown:
        noteUnconfirmedPromotion(now);
        break;
    case PromotionOutcome::NotExecuted:
        break;
    }
    retryAt_ = now + limits_.retryInterval;
}

/// Records that the promotion in progress may take effect from \a now on.
void PrimaryChange::noteUnconfirmedPromotion(TimePoint now)
{
    promotionsSettledAt_ = now + limits_.confirmTimeout;
    if (!unconfirmedPromotions_.empty() && unconfirmedPromotions_.back().member == chosenMember_) {
        return;
    }
    highestPromotedTerm_ = highestPossibleTerm() + 1;
    unconfirmedPromotions_.push_back({chosenMember_, termFloor_});
}

/// Returns the highest term at which any member may lead, as far as this change knows.
std::uint64_t PrimaryChange::highestPossibleTerm() const noexcept
{
    return std::max(highestTerm_, highestPromotedTerm_);
}

PrimaryChangeActions PrimaryChange::next(TimePoint now)
{
    PrimaryChangeActions actions;
    switch (phase_) {
    case Phase::Recording:
        recording(actions, now);
        break;
    case Phase::Contesting:
        contesting(actions, now);
        break;
    case Phase::Gathering:
        gathering(actions, now);
        break;
    case Phase::Promoting:
        promoting(actions, now);
        break;
    case Phase::Confirming:
        confirming(actions, now);
        break;
    case Phase::Publishing:
        publishing(actions, now);
        break;
    case Phase::Finished:
        break;
    }
    return actions;
}

void PrimaryChange::recording(PrimaryChangeActions &actions, TimePoint now)
{
    if (now < retryAt_) {
        return;
    }
    actions.emplace_back(StoreRecord{record_});
    retryAt_ = TimePoint::max();
}

void PrimaryChange::contesting(PrimaryChangeActions &actions, TimePoint now)
{
    if (now < retryAt_) {
        return;
    }
    auto record = record_;
    record.contested = true;
    actions.emplace_back(StoreRecord{record});
    retryAt_ = TimePoint::max();
}

void PrimaryChange::gathering(PrimaryChangeActions &actions, TimePoint now)
{
    if (inherited() && !inheritedSettled_ && now >= promotionsSettledAt_) {
        inheritedSettled_ = true;
        // What members reported until now may be of before a promotion that an earlier lease holder requested.
        gatherAgain(now);
    }
    const bool ready = proxiesSettled(now);
    if (ready) {
        chooseMember(actions, now);
    }
    if (phase_ != Phase::Gathering || now < retryAt_) {
        return;
    }
    retryAt_ = now + limits_.retryInterval;
    quiesceProxies(actions);
    queryMembers(actions, now);
    const bool mayStillVerify =
        reason_ == PrimaryChangeReason::Unverified && now < std::max(recordedAt_, promotionsSettledAt_) + limits_.memberTimeout;
    if ((ready || !planned()) && !mayStillVerify) {
        stopReplicas(actions);
    }
}

void PrimaryChange::quiesceProxies(PrimaryChangeActions &actions)
{
    if (!proxies_) {
        actions.emplace_back(ListProxies{});
        return;
    }
    for (const auto &proxy : *proxies_) {
        if (!quiesced_.contains(proxy)) {
            actions.emplace_back(QuiesceProxy{proxy, record_, planned() ? limits_.drainTimeout : Milliseconds{0}});
        }
    }
}

/// Asks the members whose status is not known; all of them while a promotion may still take effect.
void PrimaryChange::queryMembers(PrimaryChangeActions &actions, TimePoint now)
{
    for (const auto &[name, member] : members_) {
        if (!statuses_.contains(name) || now < promotionsSettledAt_) {
            actions.emplace_back(QueryMember{name});
        }
    }
}

/// Stops replication, at a term above every known one, on the replicas whose status is known.
void PrimaryChange::stopReplicas(PrimaryChangeActions &actions)
{
    if (highestPossibleTerm() >= stopTerm_) {
        stopTerm_ = highestPossibleTerm() + 1;
        stoppedReplicas_.clear();
    }
    for (const auto &[name, member] : members_) {
        if (isReplica(name) && statuses_.contains(name) && !stoppedReplicas_.contains(name)) {
            actions.emplace_back(StopReplication{name, stopTerm_});
        }
    }
}

/// True when no proxy relies on the old primary any longer.
bool PrimaryChange::proxiesSettled(TimePoint now) const
{
    if (now >= recordedAt_ + primaryTableLease + limits_.primaryTableMargin) {
        return true;
    }
    return proxies_ && std::all_of(proxies_->begin(), proxies_->end(), [this](const auto &proxy) { return quiesced_.contains(proxy); });
}

/// Requests the promotion again after a reply was lost, and asks the member, too: the platform's replies may stay lost.
void PrimaryChange::promoting(PrimaryChangeActions &actions, TimePoint now)
{
    const bool mayHaveTakenEffect = !unconfirmedPromotions_.empty() && unconfirmedPromotions_.back().member == chosenMember_;
    if (mayHaveTakenEffect && confirmsLastPromotion()) {
        resumedByPromotion_ = chosenMember_ != record_.primary;
        startPublishing(chosenMember_);
        publishing(actions, now);
        return;
    }
    if (now < retryAt_) {
        return;
    }
    actions.emplace_back(PromoteMember{chosenMember_, unconfirmedPromotions_.size()});
    if (mayHaveTakenEffect) {
        actions.emplace_back(QueryMember{chosenMember_});
    }
    retryAt_ = TimePoint::max();
}

void PrimaryChange::confirming(PrimaryChangeActions &actions, TimePoint now)
{
    if (confirmsLastPromotion()) {
        resumedByPromotion_ = chosenMember_ != record_.primary;
        startPublishing(chosenMember_);
        publishing(actions, now);
        return;
    }
    const auto elapsed = now - promotedAt_;
    const bool complete = elapsed >= limits_.confirmTimeout;
    const auto status = statuses_.find(chosenMember_);
    if (status != statuses_.end() && status->second.reply.primary) {
        if (complete) {
            // Each promotion before this one has taken effect by now or never will, and it leads: it was the platform's primary already.
            startPublishing(chosenMember_);
            publishing(actions, now);
            return;
        }
        // An earlier promotion may still end its lead, so only a status from the end of the wait counts.
        statuses_.erase(status);
    }
    if (elapsed >= limits_.confirmTimeout + (termFloor_ == 0 ? Milliseconds{0} : limits_.memberTimeout)) {
        gatherAgain(now);
        return;
    }
    if (now >= retryAt_) {
        actions.emplace_back(QueryMember{chosenMember_});
        retryAt_ = now + limits_.retryInterval / 4;
    }
}

/// Returns true if the member of the last promotion leads at a term that only this promotion can have begun.
bool PrimaryChange::confirmsLastPromotion() const
{
    if (unconfirmedPromotions_.empty()) {
        return false;
    }
    const auto &last = unconfirmedPromotions_.back();
    const auto status = statuses_.find(last.member);
    return status != statuses_.end() && status->second.reply.primary && status->second.reply.term > last.termFloor;
}

/// Starts to choose a member again: the last promotion may have taken effect, and if so it resumed the stopped replicas.
void PrimaryChange::gatherAgain(TimePoint now)
{
    phase_ = Phase::Gathering;
    gatheringSince_ = now;
    retryAt_ = now;
    statuses_.clear();
    stoppedReplicas_.clear();
}

void PrimaryChange::startPublishing(const MemberName &member)
{
    const auto status = statuses_.find(member);
    newTerm_ = status == statuses_.end() ? 0 : status->second.reply.term;
    chosenMember_ = member;
    phase_ = Phase::Publishing;
    retryAt_ = TimePoint{};
}

void PrimaryChange::publishing(PrimaryChangeActions &actions, TimePoint now)
{
    if (now < retryAt_) {
        return;
    }
    auto record = record_;
    record.changeInProgress = false;
    record.contested = false;
    record.primary = chosenMember_;
    ++record.generation;
    actions.emplace_back(StoreRecord{record});
    if (!resumedByPromotion_) {
        for (const auto &name : stoppedReplicas_) {
            actions.emplace_back(ResumeReplication{name});
        }
    }
    demoteOthers(actions);
    retryAt_ = TimePoint::max();
}

/// Demotes the members that may have led until now.
void PrimaryChange::demoteOthers(PrimaryChangeActions &actions) const
{
    std::set<MemberName> formerPrimaries{record_.primary};
    for (const auto &promotion : unconfirmedPromotions_) {
        formerPrimaries.insert(promotion.member);
    }
    formerPrimaries.erase(chosenMember_);
    for (const auto &member : formerPrimaries) {
        if (members_.contains(member)) {
            actions.emplace_back(DemoteMember{member, newTerm_});
        }
    }
}

} // namespace cardamomstep::leadership
