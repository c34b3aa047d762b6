// The engine's inputs on the fleet, and its timers.
#include "relay/engine.h"

#include <algorithm>

namespace cardamomstep::relay {

namespace {

/// Time between two rounds of upkeep over all groups: silent links, surplus links, probes.
constexpr Milliseconds upkeepInterval{40};

} // namespace

Engine::Engine(FailureDomain own, std::uint64_t seed, const EngineLimits &limits)
    : own_(std::move(own))
    , limits_(limits)
    , random_(seed)
{
}

Engine::Group &Engine::groupState(const GroupName &name)
{
    auto &group = groups_[name];
    group.config.group = name;
    return group;
}

void Engine::configure(const Configuration &configuration, TimePoint now)
{
    if (!routes_.accept(configuration)) {
        return;
    }
    for (const auto &[name, config] : routes_.groups()) {
        auto &group = groupState(name);
        group.config = config;
        share(group);
        pump(group, now);
    }
}

void Engine::setMembers(const MemberDirectory &directory, TimePoint now)
{
    for (auto &[name, group] : groups_) {
        const auto members = directory.membersOf(name);
        for (const auto &member : members) {
            auto found = group.pools.find(member.name);
            const bool restarted = found != group.pools.end() && found->second.entry().startedAt != member.startedAt;
            if (found == group.pools.end()) {
                found = group.pools.emplace(member.name, MemberPool(member, limits_.pool)).first;
            }
            found->second.setEntry(member);
            if (restarted) {
                found->second.position = LogPosition{};
            }
        }
        for (auto pool = group.pools.begin(); pool != group.pools.end();) {
            const bool listed = directory.find(pool->first) != nullptr;
            if (!listed && pool->second.size() == 0) {
                pool = group.pools.erase(pool);
                continue;
            }
            if (!listed) {
                auto gone = pool->second.entry();
                gone.draining = true;
                pool->second.setEntry(gone);
            }
            ++pool;
        }
        share(group);
        pump(group, now);
    }
}

void Engine::setPrimary(const GroupName &name, const PrimaryBelief &belief, TimePoint now)
{
    auto &group = groupState(name);
    const bool changed = group.primary.member != belief.member || group.primary.generation != belief.generation;
    const bool wasUsable = group.primary.usable(now);
    group.primary = belief;
    if (changed) {
        group.history = FreshnessHistory{};
        group.stalledSince.reset();
    }
    if (belief.usable(now) && (changed || !wasUsable)) {
        pump(group, now);
    }
}

std::size_t Engine::lastingInFlight(const GroupName &name) const
{
    return static_cast<std::size_t>(std::count_if(callers_.begin(), callers_.end(), [&name](const auto &entry) {
        const auto &caller = entry.second;
        const bool running = caller.activity == Activity::Running && caller.session.writes(caller.statement);
        return caller.group == name && caller.link != 0 && caller.atPrimary && (running || caller.session.wrote());
    }));
}

void Engine::seal(const GroupName &name, TimePoint now)
{
    for (auto &[key, caller] : callers_) {
        if (caller.group != name || caller.link == 0 || !caller.atPrimary) {
            continue;
        }
        if (caller.activity != Activity::Resting) {
            caller.sealed = true;
        } else if (caller.session.phase() == TransactionPhase::Open && !caller.session.readOnlyTransaction()) {
            caller.session.lost();
            endTransaction(caller, now);
        }
    }
}

void Engine::setSharers(const GroupName &name, std::uint32_t sharers)
{
    auto &group = groupState(name);
    if (group.sharers == sharers) {
        return;
    }
    group.sharers = sharers;
    share(group);
}

/// Deals the members' connections out: a fair share for each proxy, and what others leave unused.
void Engine::share(Group &group)
{
    const auto limit = group.config.memberConnections;
    const auto planned = limit > limits_.reservedConnections ? limit - limits_.reservedConnections : limit;
    // With more proxies than connections the fair share is none: links are opened for a statement and closed soon after.
    const auto fair = group.sharers == 0 ? 0 : planned / group.sharers;
    const auto most = std::max<std::uint32_t>(limits_.leastBorrowed, std::min<std::uint32_t>(planned, fair * 2));
    for (auto &[name, pool] : group.pools) {
        pool.setAllowed(fair, most);
    }
}

void Engine::drain(TimePoint transactionsUntil, TimePoint now)
{
    if (drainUntil_) {
        return;
    }
    drainUntil_ = transactionsUntil;
    for (auto &[key, caller] : callers_) {
        if (caller.activity == Activity::Resting && caller.session.phase() == TransactionPhase::None) {
            endAtRest(key, caller, now);
        } else if (caller.activity == Activity::Resting) {
            setTimer(key, caller, std::min(caller.wakeAt.value_or(transactionsUntil), transactionsUntil));
        }
    }
    nextUpkeep_ = now;
}

void Engine::wake(TimePoint now)
{
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const auto key = timers_.begin()->second;
        auto &caller = callers_.at(key);
        setTimer(key, caller, std::nullopt);
        callerDue(key, caller, now);
    }
    if (now < nextUpkeep_) {
        return;
    }
    nextUpkeep_ = now + upkeepInterval;
    for (auto &[name, group] : groups_) {
        wakeLinks(group, now);
        probe(group, now);
        pump(group, now);
    }
}

std::optional<TimePoint> Engine::nextWake() const noexcept
{
    return timers_.empty() ? nextUpkeep_ : std::min(nextUpkeep_, timers_.begin()->first);
}

Actions Engine::takeActions()
{
    return std::exchange(actions_, {});
}

std::vector<GroupStatus> Engine::status() const
{
    std::vector<GroupStatus> all;
    for (const auto &[name, group] : groups_) {
        GroupStatus status{name, group.primary, group.waiting.size()};
        for (const auto &[member, pool] : group.pools) {
            status.links += pool.size();
            status.lentLinks += pool.count(LinkPhase::Lent);
        }
        all.push_back(status);
    }
    return all;
}

TimePoint Engine::lastAnswer(const GroupName &group, const MemberName &member) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return {};
    }
    const auto pool = found->second.pools.find(member);
    return pool == found->second.pools.end() ? TimePoint{} : pool->second.lastAnswer();
}

LogPosition Engine::acknowledged(const GroupName &group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? LogPosition{} : found->second.acknowledged;
}

std::optional<TimePoint> Engine::writesStalledSince(const GroupName &group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? std::nullopt : found->second.stalledSince;
}

} // namespace cardamomstep::relay
