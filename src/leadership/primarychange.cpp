// The steps of a primary change.
#include "leadership/primarychange.h"

#include <algorithm>

namespace cardamomstep::leadership {

PrimaryChange::PrimaryChange(GroupRecord record, PrimaryChangeReason reason, TimePoint now, const PrimaryChangeLimits &limits)
    : limits_(limits)
    , record_(std::move(record))
    , reason_(reason)
    , startedAt_(now)
    , recordedAt_(now)
{
    if (record_.changeInProgress) {
        phase_ = Phase::Gathering;
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

void PrimaryChange::memberStatus(const MemberStatus &status)
{
    statuses_[status.member] = status;
}

void PrimaryChange::replicationStopped(const MemberStatus &status, std::uint64_t term)
{
    statuses_[status.member] = status;
    if (term == stopTerm_) {
        stoppedReplicas_.insert(status.member);
    }
}

void PrimaryChange::promoted(const MemberName &member, bool accepted, bool refused, TimePoint now)
{
    if (phase_ != Phase::Promoting || member != chosenMember_) {
        return;
    }
    retryAt_ = now;
    if (accepted) {
        phase_ = Phase::Confirming;
        promotedAt_ = now;
    } else if (refused) {
        refusedMembers_.insert(member);
        phase_ = Phase::Gathering;
    } else {
        retryAt_ = now + limits_.retryInterval;
    }
}

PrimaryChangeActions PrimaryChange::next(TimePoint now)
{
    PrimaryChangeActions actions;
    switch (phase_) {
    case Phase::Recording:
        recording(actions, now);
        break;
    case Phase::Gathering:
        gathering(actions, now);
        break;
    case Phase::Promoting:
        if (now >= retryAt_) {
            actions.emplace_back(PromoteMember{chosenMember_});
            retryAt_ = TimePoint::max();
        }
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

void PrimaryChange::gathering(PrimaryChangeActions &actions, TimePoint now)
{
    const bool ready = proxiesSettled(now);
    if (ready) {
        chooseMember(actions, now);
    }
    if (phase_ != Phase::Gathering || now < retryAt_) {
        return;
    }
    retryAt_ = now + limits_.retryInterval;
    quiesceProxies(actions);
    queryMembers(actions);
    const bool mayStillVerify = reason_ == PrimaryChangeReason::Unverified && now - recordedAt_ < limits_.memberTimeout;
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

void PrimaryChange::queryMembers(PrimaryChangeActions &actions)
{
    for (const auto &[name, member] : members_) {
        if (!statuses_.contains(name)) {
            actions.emplace_back(QueryMember{name});
        }
    }
}

/// Stops replication, at a term above every known one, on the replicas whose status is known.
void PrimaryChange::stopReplicas(PrimaryChangeActions &actions)
{
    std::uint64_t highestTerm = 0;
    for (const auto &[name, status] : statuses_) {
        highestTerm = std::max({highestTerm, status.reply.term, status.reply.received.term.number});
    }
    if (highestTerm >= stopTerm_) {
        stopTerm_ = highestTerm + 1;
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

/// True when every proxy has reported all that its instance acknowledged to callers.
bool PrimaryChange::allAcknowledgementsKnown() const
{
    return proxies_ && std::all_of(proxies_->begin(), proxies_->end(), [this](const auto &proxy) {
               const auto found = quiesced_.find(proxy);
               return found != quiesced_.end() && found->second;
           });
}

/// True when the replication of every registered replica was stopped at stopTerm_.
bool PrimaryChange::replicasSettled() const
{
    return std::all_of(members_.begin(), members_.end(), [this](const auto &member) {
        return !isReplica(member.first) || stoppedReplicas_.contains(member.first);
    });
}

/// Returns the member to promote: one that is not draining and holds all that was acknowledged, otherwise the one with the longest log.
/// While not all acknowledgements are known, only the longest log counts as holding them.
std::optional<PrimaryChange::Candidate> PrimaryChange::bestCandidate() const
{
    std::vector<Candidate> candidates;
    for (const auto &name : stoppedReplicas_) {
        const auto member = members_.find(name);
        if (member != members_.end() && !refusedMembers_.contains(name)) {
            candidates.push_back({name, statuses_.at(name).reply.received, member->second.draining});
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

/// A leader at a term that no member exceeds is the newest one, unless a member without a status leads at a higher one: that member has
/// acknowledged nothing without a replica, and has no replica among the others.
std::optional<MemberName> PrimaryChange::verifiedLeader() const
{
    const MemberStatus *leader = nullptr;
    std::uint64_t highestTerm = 0;
    std::size_t answered = 0;
    for (const auto &[name, status] : statuses_) {
        if (!members_.contains(name)) {
            continue;
        }
        ++answered;
        highestTerm = std::max({highestTerm, status.reply.term, status.reply.received.term.number});
        if (status.reply.primary && (leader == nullptr || leader->reply.term < status.reply.term)) {
            leader = &status;
        }
    }
    if (leader == nullptr || leader->reply.term < highestTerm || leader->reply.received < acknowledged_) {
        return std::nullopt;
    }
    const bool enough = answered == members_.size() || (answered + 1 == members_.size() && allAcknowledgementsKnown());
    return enough ? std::optional(leader->member) : std::nullopt;
}

void PrimaryChange::chooseMember(PrimaryChangeActions &actions, TimePoint now)
{
    if (reason_ == PrimaryChangeReason::Unverified && stoppedReplicas_.empty()) {
        if (const auto leader = verifiedLeader()) {
            newTerm_ = statuses_.at(*leader).reply.term;
            startPublishing(*leader);
            return;
        }
    }
    const auto elapsed = now - recordedAt_;
    const auto candidate = bestCandidate();
    const auto primary = statuses_.find(record_.primary);
    const bool recordVerified = reason_ != PrimaryChangeReason::Unverified;
    const bool primaryLeads = recordVerified && primary != statuses_.end() && primary->second.reply.primary;
    if (!candidate) {
        // No other member can be promoted; the old primary may continue once its replicas replicate again.
        if (primaryLeads && elapsed >= limits_.memberTimeout && !planned()) {
            startPublishing(record_.primary);
        }
        return;
    }
    const bool lacksAcknowledged = candidate->received < acknowledged_;
    if (lacksAcknowledged && primaryLeads && elapsed >= limits_.memberTimeout) {
        // The old primary holds what was acknowledged to callers; a slow primary is better than lost writes.
        startPublishing(record_.primary);
        return;
    }
    const bool settled = replicasSettled() || (allAcknowledgementsKnown() && elapsed >= limits_.memberTimeout);
    const bool mayPromote = (settled && !lacksAcknowledged) || elapsed >= limits_.maxGatheringTime;
    if (!mayPromote) {
        return;
    }
    const auto status = statuses_.find(candidate->member);
    if (status != statuses_.end() && status->second.reply.primary) {
        // A promotion requested by an earlier lease holder took effect.
        newTerm_ = status->second.reply.term;
        startPublishing(candidate->member);
        return;
    }
    chosenMember_ = candidate->member;
    promotionRequested_ = true;
    phase_ = Phase::Promoting;
    actions.emplace_back(PromoteMember{chosenMember_});
    retryAt_ = TimePoint::max();
}

void PrimaryChange::confirming(PrimaryChangeActions &actions, TimePoint now)
{
    const auto status = statuses_.find(chosenMember_);
    if (status != statuses_.end() && status->second.reply.primary) {
        newTerm_ = status->second.reply.term;
        startPublishing(chosenMember_);
        publishing(actions, now);
        return;
    }
    if (now - promotedAt_ >= limits_.confirmTimeout) {
        refusedMembers_.insert(chosenMember_);
        phase_ = Phase::Gathering;
        retryAt_ = now;
        return;
    }
    if (now >= retryAt_) {
        actions.emplace_back(QueryMember{chosenMember_});
        retryAt_ = now + limits_.retryInterval / 4;
    }
}

void PrimaryChange::startPublishing(const MemberName &member)
{
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
    record.primary = chosenMember_;
    ++record.generation;
    actions.emplace_back(StoreRecord{record});
    if (!promotionRequested_ || chosenMember_ == record_.primary) {
        // A promotion also resumes the stopped replicas; without one, they are resumed explicitly.
        for (const auto &name : stoppedReplicas_) {
            actions.emplace_back(ResumeReplication{name});
        }
    }
    if (chosenMember_ != record_.primary && members_.contains(record_.primary)) {
        actions.emplace_back(DemoteMember{record_.primary, newTerm_});
    }
    retryAt_ = TimePoint::max();
}

} // namespace cardamomstep::leadership
