// Statements that wait for a connection: who is served next, and who is refused.
#include "relay/engine.h"

#include <algorithm>

namespace cardamomstep::relay {

void Engine::enqueue(CallerKey key, Caller &caller, Group &group, TimePoint now)
{
    caller.activity = Activity::Waiting;
    if (tryServe(key, caller, group, now)) {
        return;
    }
    WaitingStatement statement;
    statement.caller = key;
    statement.customer = caller.session.identity().customer;
    statement.priority = caller.route.priority;
    statement.lane = needsPrimary(caller) ? WaitingLane::Primary : WaitingLane::Readers;
    statement.objective = caller.arrived + caller.route.latencyObjective;
    statement.deadline = caller.deadline;
    statement.retry = caller.attempts > 0;
    const auto decision = group.waiting.add(statement, waitingTerms(group, now), now);
    if (decision.displaced) {
        refuseWaiting(*decision.displaced, "displaced by a more urgent statement", now);
    }
    if (decision.outcome != WaitingOutcome::Waiting) {
        const bool full = decision.outcome == WaitingOutcome::Full;
        refuseWaiting(key, full ? "too many statements are waiting for this group" : "its turn would come too late", now);
        return;
    }
    setTimer(key, caller, std::min<TimePoint>(caller.deadline, now + limits_.connectionTimeout));
    openConnections(group, now);
}

void Engine::dequeue(CallerKey key, Caller &caller)
{
    groupState(caller.group).waiting.remove(key);
}

/// Refuses a statement that has left the queue without being sent.
void Engine::refuseWaiting(CallerKey key, std::string_view reason, TimePoint now)
{
    auto &caller = callers_.at(key);
    const auto retryAfter = retryAfterOf(groupState(caller.group), now);
    answerError(key, caller, Error{ErrorKind::Overloaded, std::string(reason)}.withRetryAfter(retryAfter), now);
}

/// Serves waiting callers, most urgent first, and opens connections for the remaining ones.
void Engine::dispatchWaiting(Group &group, TimePoint now)
{
    const auto anyIdle = [&group] {
        return std::any_of(
            group.pools.begin(), group.pools.end(), [](const auto &entry) { return entry.second.count(PooledConnectionState::Idle) > 0; });
    };
    if (!group.waiting.empty() && anyIdle()) {
        for (const auto key : group.waiting.order(waitingTerms(group, now), now)) {
            if (tryServe(key, callers_.at(key), group, now)) {
                group.waiting.served(key);
                if (!anyIdle()) {
                    break;
                }
            }
        }
    }
    openConnections(group, now);
}

void Engine::refuseLateWaiting(Group &group, TimePoint now)
{
    if (group.waiting.empty()) {
        return;
    }
    for (const auto key : group.waiting.tooLate(waitingTerms(group, now), now)) {
        group.waiting.remove(key);
        refuseWaiting(key, "its turn would come too late", now);
    }
}

/// Returns the bounds of the queue, and how fast the group's connections serve it.
WaitingTerms Engine::waitingTerms(const Group &group, TimePoint now) const
{
    WaitingTerms terms;
    terms.maxWaiting = limits_.maxWaiting;
    terms.primary.timeInSlot = group.primarySlotTime.mean();
    terms.readers.timeInSlot = group.replicaSlotTime.observed() ? group.replicaSlotTime.mean() : group.primarySlotTime.mean();
    for (const auto &[name, pool] : group.pools) {
        const bool primary = name == group.primary.member;
        if (!pool.usable(now) || (primary ? !primaryUsable(group, now) : pool.entry().draining)) {
            continue;
        }
        const auto connections = pool.size() + (pool.mayOpen(now) ? limits_.maxOpeningPerMember : 0);
        terms.primary.connections += primary ? connections : 0;
        terms.readers.connections += connections;
    }
    return terms;
}

/// Records how long a statement or transaction used the connection, right before it is released.
void Engine::recordSlotTime(const PooledConnection &connection, Group &group, TimePoint now)
{
    auto &slotTime = connection.member == group.primary.member ? group.primarySlotTime : group.replicaSlotTime;
    slotTime.observe(now - connection.stateSince);
}

/// Returns the shortest retry-after time of a refusal: the time until what waits now has been sent, at least 1 ms per statement, within
/// its bounds.
Milliseconds Engine::minRetryAfterOf(const Group &group, TimePoint now) const
{
    const auto waitingCount = Milliseconds{static_cast<std::int64_t>(group.waiting.size())};
    const auto drainTime = wholeMilliseconds(group.waiting.drainTime(waitingTerms(group, now)));
    return std::clamp(std::max(waitingCount, drainTime), limits_.minRetryAfter, limits_.maxRetryAfter);
}

/// Returns the retry-after time of a refusal: the shortest one, and up to as much again at random, so that callers that are refused
/// together do not return together.
Milliseconds Engine::retryAfterOf(const Group &group, TimePoint now)
{
    const auto base = minRetryAfterOf(group, now);
    return base + Milliseconds{static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(base.count()) + 1))};
}

} // namespace cardamomstep::relay
