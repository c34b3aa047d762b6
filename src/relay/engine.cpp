// The engine's inputs about the fleet, its timers and its state for status and metrics.
#include "relay/engine.h"

#include <algorithm>

namespace cardamomstep::relay {

namespace {

/// Interval of the maintenance of all groups: silent connections, surplus connections, probes.
constexpr Milliseconds maintenanceInterval{40};

} // namespace

Engine::Engine(FailureDomain ownDomain, std::uint64_t seed, const EngineLimits &limits)
    : ownDomain_(std::move(ownDomain))
    , limits_(limits)
    , random_(seed)
    , customerLimits_(limits.customers, seed ^ 0x6c696d6974ULL, limits.customersStartFull)
{
}

Engine::Group &Engine::groupState(const GroupName &name)
{
    auto &group = groups_[name];
    group.config.group = name;
    return group;
}

bool Engine::configure(const Configuration &configuration, TimePoint now)
{
    if (!routes_.accept(configuration)) {
        return false;
    }
    customers_.apply(configuration.customers);
    endSessionsOfChangedKeys(now);
    customerLimits_.configure(configuration.customers.value_or(std::vector<customers::Customer>{}), now);
    for (const auto &[name, config] : routes_.groups()) {
        auto &group = groupState(name);
        group.config = config;
        updatePoolLimits(group);
        dispatchWaiting(group, now);
    }
    return true;
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
            found->second.drainingSince = directory.drainingSince(member.name);
            if (restarted) {
                found->second.position = LogPosition{};
                group.capacity.forget(member.name);
            }
        }
        for (auto pool = group.pools.begin(); pool != group.pools.end();) {
            const bool listed = directory.find(pool->first) != nullptr;
            if (!listed && pool->second.size() == 0) {
                group.capacity.forget(pool->first);
                pool = group.pools.erase(pool);
                continue;
            }
            if (!listed) {
                auto drainingEntry = pool->second.entry();
                drainingEntry.draining = true;
                pool->second.setEntry(drainingEntry);
            }
            ++pool;
        }
        updatePoolLimits(group);
        dispatchWaiting(group, now);
    }
}

void Engine::setPrimary(const GroupName &name, const CachedPrimary &primary, TimePoint now)
{
    auto &group = groupState(name);
    const bool changed = group.primary.member != primary.member || group.primary.generation != primary.generation;
    const bool wasUsable = group.primary.usable(now);
    group.primary = primary;
    if (changed) {
        group.history = FreshnessHistory{};
        group.writeStallStartedAt.reset();
    }
    if (primary.usable(now) && (changed || !wasUsable)) {
        dispatchWaiting(group, now);
    }
}

std::size_t Engine::durableInFlight(const GroupName &name) const
{
    return static_cast<std::size_t>(std::count_if(callers_.begin(), callers_.end(), [&name](const auto &entry) {
        const auto &caller = entry.second;
        const bool running = caller.activity == Activity::Running && caller.session.writes(caller.statement);
        return caller.group == name && caller.connection != 0 && caller.sentToPrimary && (running || caller.session.wrote());
    }));
}

void Engine::fence(const GroupName &name, TimePoint now)
{
    for (auto &[key, caller] : callers_) {
        if (caller.group != name || caller.connection == 0 || !caller.sentToPrimary) {
            continue;
        }
        if (caller.activity != Activity::Idle) {
            caller.fenced = true;
        } else if (caller.session.phase() == TransactionPhase::Open && !caller.session.readOnlyTransaction()) {
            caller.session.transactionLost();
            endTransaction(caller, now);
        }
    }
}

void Engine::setPoolCount(const GroupName &name, std::uint32_t poolCount)
{
    auto &group = groupState(name);
    if (group.poolCount == poolCount) {
        return;
    }
    group.poolCount = poolCount;
    updatePoolLimits(group);
}

/// Divides the members' connections: a fair share for each proxy with a pool, and a maximum that includes what others leave unused.
void Engine::updatePoolLimits(Group &group)
{
    const auto limit = group.config.memberConnections;
    const auto plannedConnections = limit > limits_.reservedConnections ? limit - limits_.reservedConnections : limit;
    if (customers_.keysRequired()) {
        updateCustomerPoolLimits(group, plannedConnections);
        return;
    }
    // With more proxies than connections the fair share is 0: connections are opened for a statement and closed soon after.
    const auto fairShare = group.poolCount == 0 ? 0 : plannedConnections / group.poolCount;
    const auto maxConnections =
        std::max<std::uint32_t>(limits_.minSurplusConnections, std::min<std::uint32_t>(plannedConnections, fairShare * 2));
    for (auto &[name, pool] : group.pools) {
        pool.setConnectionLimits(fairShare, maxConnections);
    }
}

void Engine::drain(TimePoint transactionsUntil, TimePoint now)
{
    if (drainUntil_) {
        return;
    }
    drainUntil_ = transactionsUntil;
    for (auto &[key, caller] : callers_) {
        if (caller.activity == Activity::Idle && caller.session.phase() == TransactionPhase::None) {
            endWhenIdle(key, caller, now);
        } else if (caller.activity == Activity::Idle) {
            setTimer(key, caller, std::min(caller.timerAt.value_or(transactionsUntil), transactionsUntil));
        }
    }
    nextMaintenance_ = now;
}

void Engine::wake(TimePoint now)
{
    customerLimits_.tick(now);
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const auto key = timers_.begin()->second;
        auto &caller = callers_.at(key);
        setTimer(key, caller, std::nullopt);
        onCallerTimer(key, caller, now);
    }
    if (now < nextMaintenance_) {
        return;
    }
    nextMaintenance_ = now + maintenanceInterval;
    for (auto &[name, group] : groups_) {
        maintainConnections(group, now);
        logDrainTimeOver(group, now);
        probe(group, now);
        dispatchWaiting(group, now);
        refuseLateWaiting(group, now);
    }
}

std::optional<TimePoint> Engine::nextWake() const noexcept
{
    return timers_.empty() ? nextMaintenance_ : std::min(nextMaintenance_, timers_.begin()->first);
}

Actions Engine::takeActions()
{
    logLimitEvents();
    return std::exchange(actions_, {});
}

void Engine::logLimitEvents()
{
    for (const auto &event : customerLimits_.takeEvents()) {
        const bool refused = event.name == "limit_refused";
        actions_.emplace_back(LogDecision{LogLevel::Info,
                                          event.name,
                                          {{"customer", event.customer.text()},
                                           {refused ? "refused" : "count", static_cast<std::int64_t>(event.count)},
                                           {"tokens", static_cast<std::int64_t>(event.tokens)}}});
    }
}

std::vector<GroupStats> Engine::groupStats() const
{
    std::vector<GroupStats> all;
    for (const auto &[name, group] : groups_) {
        GroupStats stats;
        stats.group = name;
        stats.primary = group.primary;
        stats.waiting = group.waiting.size();
        for (const auto &[member, pool] : group.pools) {
            if (member == group.primary.member) {
                stats.primaryDrainingSince = pool.drainingSince;
            }
            stats.connections += pool.size();
            stats.connectionsInUse += pool.count(PooledConnectionState::InUse);
        }
        all.push_back(stats);
    }
    return all;
}

TimePoint Engine::lastReplyAt(const GroupName &group, const MemberName &member) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return {};
    }
    const auto pool = found->second.pools.find(member);
    return pool == found->second.pools.end() ? TimePoint{} : pool->second.lastReplyAt();
}

LogPosition Engine::acknowledged(const GroupName &group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? LogPosition{} : found->second.acknowledged;
}

std::optional<TimePoint> Engine::writesStalledSince(const GroupName &group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? std::nullopt : found->second.writeStallStartedAt;
}

} // namespace cardamomstep::relay
