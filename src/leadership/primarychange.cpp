// The steps of a move of leadership.
#include "leadership/primarychange.h"

#include <algorithm>

namespace cardamomstep::leadership {

Promotion::Promotion(GroupRecord record, MoveReason reason, TimePoint now, const PromotionLimits &limits)
    : limits_(limits)
    , record_(std::move(record))
    , reason_(reason)
    , startedAt_(now)
    , recordedAt_(now)
{
    if (record_.moving) {
        phase_ = Phase::Gathering;
    }
    record_.moving = true;
}

void Promotion::known(const Mark &acknowledged)
{
    acknowledged_ = std::max(acknowledged_, acknowledged);
}

void Promotion::setMembers(const std::vector<relay::MemberEntry> &members)
{
    members_.clear();
    for (const auto &member : members) {
        members_.emplace(member.name, member);
    }
}

void Promotion::recorded(Revision revision, TimePoint now)
{
    record_.revision = revision;
    if (phase_ == Phase::Recording) {
        phase_ = Phase::Gathering;
        recordedAt_ = now;
    } else if (phase_ == Phase::Publishing) {
        phase_ = Phase::Over;
    }
    retryAt_ = now;
}

void Promotion::recordFailed(bool conflict, TimePoint now)
{
    if (conflict) {
        phase_ = Phase::Over;
    }
    retryAt_ = now + limits_.retry;
}

void Promotion::proxiesListed(const std::vector<InstanceName> &proxies, TimePoint now)
{
    proxies_ = std::set<InstanceName>(proxies.begin(), proxies.end());
    gatherSooner(now);
}

void Promotion::held(const InstanceName &proxy, const Mark &acknowledged, Milliseconds uptime, TimePoint now)
{
    held_[proxy] = uptime >= limits_.knowingUptime;
    known(acknowledged);
    if (proxiesSettled(now)) {
        gatherSooner(now);
    }
}

/// Steps that were ordered already are not ordered again for news of proxies.
void Promotion::gatherSooner(TimePoint now)
{
    if (phase_ == Phase::Gathering) {
        retryAt_ = std::min(retryAt_, now);
    }
}

void Promotion::memberStatus(const MemberStatus &status)
{
    statuses_[status.member] = status;
}

void Promotion::memberPaused(const MemberStatus &status, std::uint64_t term)
{
    statuses_[status.member] = status;
    if (term == fenceTerm_) {
        paused_.insert(status.member);
    }
}

void Promotion::promoted(const MemberName &member, bool accepted, bool refused, TimePoint now)
{
    if (phase_ != Phase::Promoting || member != chosen_) {
        return;
    }
    retryAt_ = now;
    if (accepted) {
        phase_ = Phase::Confirming;
        promotedAt_ = now;
    } else if (refused) {
        refused_.insert(member);
        phase_ = Phase::Gathering;
    } else {
        retryAt_ = now + limits_.retry;
    }
}

PromotionActions Promotion::next(TimePoint now)
{
    PromotionActions actions;
    switch (phase_) {
    case Phase::Recording:
        recording(actions, now);
        break;
    case Phase::Gathering:
        gathering(actions, now);
        break;
    case Phase::Promoting:
        if (now >= retryAt_) {
            actions.emplace_back(PromoteMember{chosen_});
            retryAt_ = TimePoint::max();
        }
        break;
    case Phase::Confirming:
        confirming(actions, now);
        break;
    case Phase::Publishing:
        publishing(actions, now);
        break;
    case Phase::Over:
        break;
    }
    return actions;
}

void Promotion::recording(PromotionActions &actions, TimePoint now)
{
    if (now < retryAt_) {
        return;
    }
    actions.emplace_back(StoreRecord{record_});
    retryAt_ = TimePoint::max();
}

void Promotion::gathering(PromotionActions &actions, TimePoint now)
{
    const bool ready = proxiesSettled(now);
    if (ready) {
        choose(actions, now);
    }
    if (phase_ != Phase::Gathering || now < retryAt_) {
        return;
    }
    retryAt_ = now + limits_.retry;
    askProxies(actions);
    askMembers(actions);
    if (ready || !planned()) {
        pauseReplicas(actions);
    }
}

void Promotion::askProxies(PromotionActions &actions)
{
    if (!proxies_) {
        actions.emplace_back(ListProxies{});
        return;
    }
    for (const auto &proxy : *proxies_) {
        if (!held_.contains(proxy)) {
            actions.emplace_back(HoldProxy{proxy, record_, planned() ? limits_.drain : Milliseconds{0}});
        }
    }
}

void Promotion::askMembers(PromotionActions &actions)
{
    for (const auto &[name, member] : members_) {
        if (!statuses_.contains(name)) {
            actions.emplace_back(AskMember{name});
        }
    }
}

/// Stops replication at a term above every known one, once the members' terms are known.
void Promotion::pauseReplicas(PromotionActions &actions)
{
    std::uint64_t highest = 0;
    for (const auto &[name, status] : statuses_) {
        highest = std::max({highest, status.account.term, status.account.received.term.number});
    }
    if (highest >= fenceTerm_) {
        fenceTerm_ = highest + 1;
        paused_.clear();
    }
    for (const auto &[name, member] : members_) {
        if (name != record_.primary && statuses_.contains(name) && !paused_.contains(name)) {
            actions.emplace_back(PauseMember{name, fenceTerm_});
        }
    }
}

/// True when no proxy relies on the old primary any more.
bool Promotion::proxiesSettled(TimePoint now) const
{
    if (now >= recordedAt_ + viewLease + limits_.viewMargin) {
        return true;
    }
    return proxies_ && std::all_of(proxies_->begin(), proxies_->end(), [this](const auto &proxy) { return held_.contains(proxy); });
}

/// True when every proxy told all that was acknowledged to callers.
bool Promotion::allProxiesKnown() const
{
    return proxies_ && std::all_of(proxies_->begin(), proxies_->end(), [this](const auto &proxy) {
               const auto found = held_.find(proxy);
               return found != held_.end() && found->second;
           });
}

bool Promotion::replicasSettled() const
{
    return std::all_of(members_.begin(), members_.end(), [this](const auto &member) {
        return member.first == record_.primary || paused_.contains(member.first);
    });
}

/// The member to promote: one that stays and holds what was acknowledged, else the one with the longest log.
std::optional<Promotion::Candidate> Promotion::best() const
{
    std::vector<Candidate> candidates;
    for (const auto &name : paused_) {
        const auto member = members_.find(name);
        if (member != members_.end() && !refused_.contains(name)) {
            candidates.push_back({name, statuses_.at(name).account.received, member->second.draining});
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto longest = std::max_element(
        candidates.begin(), candidates.end(), [](const auto &left, const auto &right) { return left.received < right.received; });
    const auto needed = allProxiesKnown() ? std::min(acknowledged_, longest->received) : longest->received;
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

void Promotion::choose(PromotionActions &actions, TimePoint now)
{
    const auto waited = now - recordedAt_;
    const auto candidate = best();
    const auto primary = statuses_.find(record_.primary);
    const bool primaryLeads = primary != statuses_.end() && primary->second.account.primary;
    if (!candidate) {
        // Nobody else can lead; the old primary may go on, once its replicas replicate again.
        if (primaryLeads && waited >= limits_.memberPatience && !planned()) {
            publish(record_.primary);
        }
        return;
    }
    const bool lacks = candidate->received < acknowledged_;
    if (lacks && primaryLeads && waited >= limits_.memberPatience) {
        // The old primary holds what its callers were told; slow is better than lost.
        publish(record_.primary);
        return;
    }
    const bool settled = replicasSettled() || (allProxiesKnown() && waited >= limits_.memberPatience);
    const bool enough = (settled && !lacks) || waited >= limits_.longestGathering;
    if (!enough) {
        return;
    }
    const auto status = statuses_.find(candidate->member);
    if (status != statuses_.end() && status->second.account.primary) {
        // A promotion of an earlier holder took effect.
        newTerm_ = status->second.account.term;
        publish(candidate->member);
        return;
    }
    chosen_ = candidate->member;
    ordered_ = true;
    phase_ = Phase::Promoting;
    actions.emplace_back(PromoteMember{chosen_});
    retryAt_ = TimePoint::max();
}

void Promotion::confirming(PromotionActions &actions, TimePoint now)
{
    const auto status = statuses_.find(chosen_);
    if (status != statuses_.end() && status->second.account.primary) {
        newTerm_ = status->second.account.term;
        publish(chosen_);
        publishing(actions, now);
        return;
    }
    if (now - promotedAt_ >= limits_.confirmPatience) {
        refused_.insert(chosen_);
        phase_ = Phase::Gathering;
        retryAt_ = now;
        return;
    }
    if (now >= retryAt_) {
        actions.emplace_back(AskMember{chosen_});
        retryAt_ = now + limits_.retry / 4;
    }
}

void Promotion::publish(const MemberName &member)
{
    chosen_ = member;
    phase_ = Phase::Publishing;
    retryAt_ = TimePoint{};
}

void Promotion::publishing(PromotionActions &actions, TimePoint now)
{
    if (now < retryAt_) {
        return;
    }
    auto record = record_;
    record.moving = false;
    record.primary = chosen_;
    ++record.generation;
    actions.emplace_back(StoreRecord{record});
    if (!ordered_ || chosen_ == record_.primary) {
        // Only a promotion lets stopped replicas go on by itself.
        for (const auto &name : paused_) {
            actions.emplace_back(ResumeMember{name});
        }
    }
    if (chosen_ != record_.primary && members_.contains(record_.primary)) {
        actions.emplace_back(DemoteMember{record_.primary, newTerm_});
    }
    retryAt_ = TimePoint::max();
}

} // namespace cardamomstep::leadership
