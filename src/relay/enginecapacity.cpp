// Learned capacity of members: what the engine observes, and which member it sends a read to.
#include "relay/engine.h"

#include <algorithm>

namespace cardamomstep::relay {

namespace {

/// How long a read waits for a member that does not fail, while only avoided members have an idle connection.
constexpr Milliseconds avoidedMemberWait{100};

WorkClass workClassOf(const Route &route, bool durable)
{
    return {route.database, durable};
}

} // namespace

/// Returns the member for a read among \a candidates, which have idle connections; null if the read should wait for another one.
MemberPool *Engine::chooseByCapacity(const Caller &caller, Group &group, const std::vector<MemberPool *> &candidates, TimePoint now)
{
    if (candidates.empty()) {
        return nullptr;
    }
    std::vector<ReadCandidate> offered;
    offered.reserve(candidates.size());
    bool allAvoided = true;
    for (const auto *pool : candidates) {
        const auto &name = pool->entry().name;
        const auto extraCost = name == group.primary.member ? limits_.learnedPrimaryPenalty : Microseconds{0};
        offered.push_back({&name, pool->count(PooledConnectionState::InUse), extraCost});
        allAvoided = allAvoided && group.capacity.avoided(name);
    }
    const bool otherMember = std::any_of(group.pools.begin(), group.pools.end(), [&](const auto &entry) {
        const auto &[name, pool] = entry;
        const bool mayServe = name == group.primary.member ? primaryUsable(group, now) : !pool.entry().draining;
        return mayServe && pool.usable(now) && pool.size() > 0 && !group.capacity.avoided(name);
    });
    const auto longestWait = std::min(avoidedMemberWait, caller.route.statementTimeout / 4);
    // Under load an avoided member serves better than a refusal.
    const bool shortQueue = group.waiting.drainTime(waitingTerms(group, now)) < longestWait;
    if (allAvoided && otherMember && shortQueue && now - caller.arrived < longestWait) {
        return nullptr;
    }
    return candidates[group.capacity.choose(offered, random_, now)];
}

/// Records how a member ended a statement.
void Engine::learnReply(const Caller &caller, Group &group, const MemberName &member, std::optional<MemberFault> fault, TimePoint now)
{
    if (!limits_.learnMemberCapacity) {
        return;
    }
    const auto retryClass = retryClassOf(caller.session, caller.statement);
    const bool durable = retryClass == RetryClass::Write || retryClass == RetryClass::CommitOfWrites;
    if (!fault) {
        group.capacity.replied(member, workClassOf(caller.route, durable), now - caller.sentAt, caller.othersInFlight, now);
    } else if (fault == MemberFault::Busy) {
        group.capacity.refused(member, now);
    } else if (retryClass == RetryClass::Read && (fault == MemberFault::Failed || fault == MemberFault::TimedOut)) {
        // A write that fails is more often refused by its data than failed by the member.
        group.capacity.failed(member, now);
    }
}

/// Records that a statement has had no reply, or that its connection broke.
void Engine::learnLostReply(const Caller &caller, Group &group, const MemberName &member, bool broken, TimePoint now)
{
    if (!limits_.learnMemberCapacity) {
        return;
    }
    if (broken) {
        group.capacity.failed(member, now);
    } else {
        group.capacity.silent(member, workClassOf(caller.route, false), now - caller.sentAt, now);
    }
}

std::vector<MemberCapacityStats> Engine::memberCapacities(TimePoint now) const
{
    std::vector<MemberCapacityStats> all;
    if (!limits_.learnMemberCapacity) {
        return all;
    }
    for (const auto &[groupName, group] : groups_) {
        for (const auto &[name, pool] : group.pools) {
            all.push_back({groupName,
                           name,
                           group.capacity.relativeCapacity(name),
                           group.capacity.inFlightLimit(name),
                           group.capacity.condition(name, now)});
        }
    }
    return all;
}

std::vector<std::pair<GroupName, std::vector<MemberReport>>> Engine::takeMemberReports()
{
    std::vector<std::pair<GroupName, std::vector<MemberReport>>> all;
    for (auto &[name, group] : groups_) {
        if (auto reports = group.capacity.takeReports(); !reports.empty()) {
            all.emplace_back(name, std::move(reports));
        }
    }
    return all;
}

void Engine::mergeMemberReports(const GroupName &name, std::span<const MemberReport> reports, bool sameDomain, TimePoint now)
{
    const auto found = groups_.find(name);
    if (limits_.learnMemberCapacity && found != groups_.end()) {
        found->second.capacity.merge(reports, sameDomain, now);
    }
}

} // namespace cardamomstep::relay
