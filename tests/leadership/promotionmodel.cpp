// The platform's promotions and the members' replies, as the users' pages tell them.
#include "promotionmodel.h"

#include <algorithm>

namespace cardamomstep::leadership::test {

namespace {

constexpr Milliseconds step{10};
/// Shorter than the time after which a member that lacks acknowledged commits is promoted.
constexpr Milliseconds longestPlay{20'000};
/// Longest time until a promotion takes effect; below PrimaryChangeLimits::confirmTimeout.
constexpr std::uint64_t longestPromotionMs = 800;
constexpr std::uint64_t acknowledgedNumber = 30;

LogPosition at(std::uint64_t number)
{
    return LogPosition{Term{1, 0}, number};
}

relay::MemberEntry entryOf(const MemberName &name)
{
    relay::MemberEntry entry;
    entry.name = name;
    return entry;
}

} // namespace

PromotionModel::PromotionModel(std::uint64_t seed, bool holdersAreLost)
    : random_(seed)
    , holdersAreLost_(holdersAreLost)
{
    presentPrimary_ = MemberName{"p"};
    members_[presentPrimary_].primary = true;
    // The old primary may hold commits that were not acknowledged.
    members_[presentPrimary_].received = at(acknowledgedNumber + random_.below(3));
    const bool firstHasAll = chance(50);
    members_[MemberName{"r1"}].received = at(firstHasAll || chance(50) ? acknowledgedNumber : random_.below(acknowledgedNumber));
    members_[MemberName{"r2"}].received = at(firstHasAll ? random_.below(acknowledgedNumber + 1) : acknowledgedNumber);
    historyKnown_ = chance(70);
    record_ = {GroupName{"g"}, presentPrimary_, 1, false, Revision{10}, {}};
    startChange(false);
}

bool PromotionModel::chance(std::uint64_t percent)
{
    return random_.below(100) < percent;
}

void PromotionModel::note(const std::string &event)
{
    events_ += std::to_string(wholeMilliseconds(now_.time_since_epoch()).count() - 1'000'000) + " " + event + "\n";
}

void PromotionModel::startChange(bool inherited)
{
    constexpr PrimaryChangeReason reasons[] = {PrimaryChangeReason::Silent, PrimaryChangeReason::Stalled, PrimaryChangeReason::Leaving};
    change_.emplace(record_,
                    inherited ? PrimaryChangeReason::Resumed : reasons[random_.below(std::size(reasons))],
                    now_,
                    now_ + PrimaryChangeLimits{}.confirmTimeout);
    change_->onAcknowledged(at(acknowledgedNumber));
    std::vector<relay::MemberEntry> entries;
    for (const auto &[name, member] : members_) {
        entries.push_back(entryOf(name));
    }
    change_->setMembers(entries);
}

void PromotionModel::play()
{
    const auto end = now_ + longestPlay;
    while (now_ < end && !ended_ && violation_.empty()) {
        disturb();
        takeEffect();
        replicate();
        for (const auto &action : change_->next(now_)) {
            std::visit([this](const auto &due) { perform(due); }, action);
        }
        now_ += step;
    }
}

/// Changes a path, a process or the lease holder now and then.
void PromotionModel::disturb()
{
    for (auto &[name, member] : members_) {
        if (random_.below(member.reachable ? 600 : 250) == 0) {
            member.reachable = !member.reachable;
            note(name.text() + (member.reachable ? " is reachable" : " cannot be reached"));
        }
        if (random_.below(member.running ? 1500 : 200) == 0) {
            member.running = !member.running;
            // A primary comes back as a replica if another member was promoted.
            member.primary = member.primary && name == presentPrimary_;
            member.pausedTerm = 0;
            note(name.text() + (member.running ? " runs" : " crashed"));
        }
    }
    if (holdersAreLost_ && random_.below(700) == 0 && record_.changeInProgress) {
        note("another lease holder");
        startChange(true);
    }
}

std::uint64_t PromotionModel::newestTerm() const
{
    std::uint64_t newest = 0;
    for (const auto &[name, member] : members_) {
        newest = std::max(newest, member.term);
    }
    return newest;
}

void PromotionModel::takeEffect()
{
    for (auto pending = pending_.begin(); pending != pending_.end();) {
        if (now_ < pending->effectiveAt) {
            ++pending;
            continue;
        }
        auto &promoted = members_.at(pending->member);
        if (promoted.running && pending->member != presentPrimary_) {
            promoted.term = newestTerm() + 1;
            promoted.primary = true;
            presentPrimary_ = pending->member;
            ++promotions_;
            note(pending->member.text() + " leads at " + std::to_string(promoted.term));
            for (auto &[name, member] : members_) {
                member.pausedTerm = 0;
            }
            if (promoted.received.index < acknowledgedNumber) {
                violation_ = pending->member.text() + " is promoted without acknowledged commits";
            }
        }
        pending = pending_.erase(pending);
    }
}

/// Lets replicas follow a primary, of the newest or of an older term, at random.
void PromotionModel::replicate()
{
    for (auto &[name, member] : members_) {
        const auto source = members_.find(MemberName{random_.below(2) == 0 ? "p" : presentPrimary_.text()});
        const auto &primary = source->second;
        const bool follows = source->first != name && primary.primary && primary.running && member.running && primary.term >= member.term
            && member.pausedTerm <= primary.term && (!member.primary || primary.term > member.term);
        if (follows && random_.below(100) == 0) {
            member.primary = false;
            member.term = primary.term;
            member.received = primary.received;
        }
    }
}

MemberStatus PromotionModel::statusOf(const MemberName &name) const
{
    const auto &member = members_.at(name);
    return {name, {member.primary, member.term, member.received}};
}

void PromotionModel::perform(const StoreRecord &action)
{
    if (chance(10)) {
        change_->recordFailed(false, now_);
        return;
    }
    record_ = action.record;
    record_.revision = Revision{record_.revision.value + 1};
    change_->recorded(record_.revision, now_);
    if (!record_.changeInProgress) {
        note(record_.primary.text() + " is recorded");
        ended_ = true;
        check(record_.primary);
    }
}

void PromotionModel::check(const MemberName &recorded)
{
    if (recorded != presentPrimary_) {
        violation_ = recorded.text() + " is recorded beside " + presentPrimary_.text();
    }
    for (const auto &pending : pending_) {
        if (pending.member != recorded) {
            violation_ = recorded.text() + " is recorded while " + pending.member.text() + " is being promoted";
        }
    }
}

void PromotionModel::perform(const ListProxies & /*action*/)
{
    change_->proxiesListed({InstanceName{"one"}}, now_);
}

void PromotionModel::perform(const QuiesceProxy & /*action*/)
{
    if (historyKnown_) {
        change_->quiesced(InstanceName{"one"}, at(acknowledgedNumber), Seconds{60}, now_);
    }
}

void PromotionModel::perform(const StopReplication &action)
{
    auto &member = members_.at(action.member);
    if (!member.running || !member.reachable) {
        return;
    }
    if (action.term > newestTerm()) {
        member.pausedTerm = action.term;
    }
    change_->replicationStopped(statusOf(action.member), action.term);
}

void PromotionModel::perform(const QueryMember &action)
{
    const auto &member = members_.at(action.member);
    if (member.running && member.reachable) {
        change_->memberStatus(statusOf(action.member));
    }
}

void PromotionModel::perform(const PromoteMember &action)
{
    const auto &member = members_.at(action.member);
    if (chance(10)) {
        change_->promoted(action.member, PromotionOutcome::NotExecuted, now_);
        return;
    }
    if (!member.running) {
        note("409 for " + action.member.text());
        change_->promoted(action.member, PromotionOutcome::Refused, now_);
        return;
    }
    if (action.member != presentPrimary_) {
        pending_.push_back({action.member, now_ + Milliseconds{static_cast<std::int64_t>(200 + random_.below(longestPromotionMs - 200))}});
    }
    const bool lost = chance(20);
    note("promotion of " + action.member.text() + (lost ? ", its reply is lost" : ""));
    change_->promoted(action.member, lost ? PromotionOutcome::Unknown : PromotionOutcome::Accepted, now_);
}

void PromotionModel::perform(const DemoteMember &action)
{
    auto &member = members_.at(action.member);
    if (member.running && member.reachable && member.term < action.term) {
        member.primary = false;
    }
}

void PromotionModel::perform(const ResumeReplication &action)
{
    members_.at(action.member).pausedTerm = 0;
}

void PromotionModel::perform(const PrimaryChangeAction &action)
{
    std::visit([this](const auto &due) { perform(due); }, action);
}

} // namespace cardamomstep::leadership::test
