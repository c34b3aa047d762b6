// Explains how a statement would be routed, with the functions that route statements.
#include "relay/engine.h"

#include <algorithm>

namespace cardamomstep::relay {

std::string_view nameOf(ReaderExclusion exclusion) noexcept
{
    switch (exclusion) {
    case ReaderExclusion::FailedThisStatement:
        return "failed-this-statement";
    case ReaderExclusion::PrimaryUnusable:
        return "primary-unusable";
    case ReaderExclusion::Draining:
        return "draining";
    case ReaderExclusion::Backoff:
        return "backoff";
    case ReaderExclusion::NoIdleConnection:
        return "no-idle-connection";
    case ReaderExclusion::Lagging:
        return "lagging";
    }
    return "unknown";
}

RouteExplanation Engine::explainRoute(const RouteQuery &query, TimePoint now) const
{
    RouteExplanation explanation;
    explanation.minRetryAfter = limits_.minRetryAfter;
    const auto *route = routes_.find(query.database);
    if (route == nullptr) {
        explanation.refusal = routes_.isLoaded() ? ErrorKind::UnknownService : ErrorKind::NotReady;
        return explanation;
    }
    explanation.route = *route;
    CallerSession session(query.database, {query.customer, std::nullopt});
    if (query.after) {
        SessionStatement commit;
        commit.kind = StatementKind::Write;
        session.statementSucceeded(commit, query.after);
    }
    Caller caller(std::move(session));
    caller.statement.kind = query.write ? StatementKind::Write : StatementKind::Read;
    caller.route = *route;
    caller.group = route->group;
    caller.arrived = now;
    caller.freshFrom = now;
    const auto found = groups_.find(route->group);
    if (found == groups_.end()) {
        explanation.waits = true;
        return explanation;
    }
    const auto &group = found->second;
    const bool writesOrCurrent = needsPrimary(caller);
    const auto required = writesOrCurrent ? std::nullopt : positionFor(caller, group);
    explanation.needsPrimary = !required;
    explanation.requiredPosition = required;
    explanation.waiting = group.waiting.size();
    explanation.minRetryAfter = minRetryAfterOf(group, now);
    MemberExplanation *best = nullptr;
    explanation.members.reserve(group.pools.size());
    for (const auto &[name, pool] : group.pools) {
        auto &member = explanation.members.emplace_back();
        member.name = name;
        member.primary = name == group.primary.member;
        member.cost = readerCost(group, pool);
        member.notPrimary = explanation.needsPrimary && !member.primary;
        member.exclusion = member.notPrimary ? std::nullopt : readerExclusion(caller, group, pool, required, now);
        // The primary gets what it must serve also after failures, as in primaryPool().
        if (explanation.needsPrimary && member.exclusion == ReaderExclusion::Backoff && pool.hasIdle(query.customer)) {
            member.exclusion.reset();
        }
        const bool possible = !member.notPrimary && !member.exclusion;
        if (possible && (best == nullptr || member.cost < best->cost)) {
            best = &member;
        }
    }
    if (best != nullptr) {
        best->chosen = true;
        return explanation;
    }
    explanation.waits = group.waiting.size() < limits_.maxWaiting;
    if (!explanation.waits) {
        explanation.refusal = ErrorKind::Overloaded;
    }
    return explanation;
}

} // namespace cardamomstep::relay
