// Callers' statements: which are answered at once, which wait, and what becomes of those that time runs out for.
#include "relay/engine.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::relay {

namespace {

std::string outcomeOf(const CallerReply &reply)
{
    return reply.error ? std::string(answerRule(reply.error->kind).name) : "ok";
}

} // namespace

Result<Success> Engine::callerOpened(CallerKey key, const DatabaseName &database, TimePoint now)
{
    if (!routes_.isLoaded()) {
        return Error{ErrorKind::NotReady, "the configuration is not known yet"}.withRetryAfter(limits_.maxRetryAfter);
    }
    if (routes_.find(database) == nullptr) {
        actions_.emplace_back(LogDecision{LogLevel::Info,
                                          "session_refused",
                                          {{"database", database.text()},
                                           {"outcome", "unknown-service"},
                                           {"configuration", static_cast<std::int64_t>(routes_.version())}}});
        return Error{ErrorKind::UnknownService, database.text()};
    }
    return callerAdopted(key, CallerSession(database), now);
}

Result<Success> Engine::callerAdopted(CallerKey key, const CallerSession &session, TimePoint now)
{
    if (routes_.find(session.database()) == nullptr) {
        return Error{ErrorKind::UnknownService, session.database().text()};
    }
    auto &caller = callers_.emplace(key, Caller(session)).first->second;
    caller.arrived = now;
    if (drainUntil_) {
        setTimer(key, caller, now + limits_.drainIdleTimeout);
    }
    return Success{};
}

void Engine::callerStatement(CallerKey key, const SessionStatement &statement, TimePoint now)
{
    const auto found = callers_.find(key);
    if (found == callers_.end()) {
        return;
    }
    auto &caller = found->second;
    caller.statement = statement;
    caller.arrived = now;
    caller.attempts = 0;
    caller.failedMembers.clear();
    setTimer(key, caller, std::nullopt);
    if (refusedWhileDraining(caller, now)) {
        fail(key, caller, Error{ErrorKind::Draining, "this proxy is stopping"}.withRetryAfter(limits_.minRetryAfter), now);
        return;
    }
    recordOperationIds(caller);
    CallerReply reply;
    const auto disposition = caller.session.handle(statement, reply);
    if (disposition == StatementDisposition::RollBackAtMember) {
        endTransaction(caller, now);
    }
    if (disposition != StatementDisposition::Forward) {
        answer(key, caller, std::move(reply), now);
        return;
    }
    admit(key, caller, now);
}

/// Keeps the ids by which the caller may know the statements that follow.
void Engine::recordOperationIds(Caller &caller)
{
    if (caller.session.phase() != TransactionPhase::None) {
        return;
    }
    const auto &statement = caller.statement;
    if (std::exchange(caller.setupComplete, false)) {
        caller.setupStatementId.clear();
    }
    if (isSessionSetup(statement.kind) && caller.setupStatementId.empty()) {
        caller.setupStatementId = statement.id;
    }
    caller.setupComplete = !isSessionSetup(statement.kind);
    caller.transactionId = statement.kind == StatementKind::Begin ? statement.id : std::string();
}

/// True for the begin of a transaction that would be cut by the end of this process.
bool Engine::refusedWhileDraining(const Caller &caller, TimePoint now) const
{
    const bool begins = caller.statement.kind == StatementKind::Begin && caller.session.phase() == TransactionPhase::None;
    return begins && drainUntil_ && now + limits_.minDrainTimeForBegin >= *drainUntil_;
}

/// Finds the statement's route and sends it on the link it already has, or lines it up for one.
void Engine::admit(CallerKey key, Caller &caller, TimePoint now)
{
    if (caller.session.phase() == TransactionPhase::Open) {
        caller.giveUpAt = now + caller.route.statementTimeout;
        Group *group = nullptr;
        MemberPool *pool = nullptr;
        auto *connection = findConnection(caller.connection, &group, &pool);
        if (connection == nullptr || caller.fenced) {
            fail(key, caller, Error{ErrorKind::TransactionAborted, "its connection or its primary was lost; it is rolled back"}, now);
            return;
        }
        sendStatement(caller, *connection, std::nullopt, {}, now);
        return;
    }
    const auto *route = routes_.find(caller.session.database());
    if (route == nullptr) {
        fail(key, caller, Error{ErrorKind::UnknownService, caller.session.database().text()}, now);
        return;
    }
    caller.route = *route;
    caller.freshFrom = now;
    caller.fenced = false;
    caller.giveUpAt = now + route->statementTimeout;
    caller.group = route->group;
    enqueue(key, caller, groupState(route->group), now);
}

void Engine::enqueue(CallerKey key, Caller &caller, Group &group, TimePoint now)
{
    caller.activity = Activity::Waiting;
    if (serve(key, caller, group, now)) {
        return;
    }
    if (group.waiting.size() >= limits_.maxWaiting) {
        fail(key, caller, Error{ErrorKind::Overloaded, "too many statements wait for this group"}.withRetryAfter(retryAfterOf(group)), now);
        return;
    }
    const std::pair<TimePoint, CallerKey> place{caller.arrived + caller.route.latencyObjective, key};
    group.waiting.insert(std::upper_bound(group.waiting.begin(), group.waiting.end(), place), place);
    setTimer(key, caller, std::min<TimePoint>(caller.giveUpAt, now + limits_.connectionTimeout));
    openConnections(group, now);
}

void Engine::dequeue(CallerKey key, Caller &caller)
{
    auto &waiting = groupState(caller.group).waiting;
    std::erase_if(waiting, [key](const auto &place) { return place.second == key; });
}

void Engine::answer(CallerKey key, Caller &caller, CallerReply reply, TimePoint now)
{
    if (caller.activity != Activity::Idle || reply.error) {
        logOutcome(caller, outcomeOf(reply), now);
    }
    caller.activity = Activity::Idle;
    const auto state = reply.state;
    actions_.emplace_back(ReplyToCaller{key, std::move(reply), caller.group, caller.statement.kind, now - caller.arrived});
    if (state != SessionState::Idle) {
        auto due = now + routes_.transactionIdle();
        if (drainUntil_) {
            due = std::min(due, std::max(now, *drainUntil_));
        }
        setTimer(key, caller, due);
        return;
    }
    setTimer(key, caller, std::nullopt);
    if (drainUntil_) {
        endWhenIdle(key, caller, now);
    }
}

/// Ends a resting session while this process stops; one whose next statement is on its way ends after that.
void Engine::endWhenIdle(CallerKey key, Caller &caller, TimePoint now)
{
    if (caller.beginsOperation()) {
        setTimer(key, caller, now + limits_.drainIdleTimeout);
        return;
    }
    actions_.emplace_back(CloseCaller{key});
}

/// Answers the statement under way with \a error.
void Engine::fail(CallerKey key, Caller &caller, Error error, TimePoint now)
{
    caller.session.statementFailed(caller.statement);
    if (caller.session.phase() != TransactionPhase::Open) {
        endTransaction(caller, now);
    }
    CallerReply reply;
    reply.error = std::move(error);
    reply.state = caller.session.state();
    answer(key, caller, std::move(reply), now);
}

void Engine::callerClosed(CallerKey key, TimePoint now)
{
    const auto found = callers_.find(key);
    if (found == callers_.end()) {
        return;
    }
    auto &caller = found->second;
    if (caller.activity == Activity::Waiting) {
        dequeue(key, caller);
    }
    endTransaction(caller, now);
    setTimer(key, caller, std::nullopt);
    callers_.erase(found);
}

/// Frees the caller's link: rolls back what is open, or leaves a statement under way to end on its own.
void Engine::endTransaction(Caller &caller, TimePoint now)
{
    Group *group = nullptr;
    MemberPool *pool = nullptr;
    auto *connection = findConnection(std::exchange(caller.connection, 0), &group, &pool);
    if (connection == nullptr) {
        return;
    }
    const bool inTransaction = caller.activity == Activity::Beginning || caller.session.phase() != TransactionPhase::None
        || caller.statement.kind == StatementKind::Rollback || caller.statement.kind == StatementKind::Commit;
    connection->caller = 0;
    connection->state = PooledConnectionState::AwaitingReplies;
    connection->since = now;
    if (!inTransaction) {
        if (connection->awaited.empty()) {
            release(*connection, *group, now);
        }
        return;
    }
    if (connection->awaited.empty()) {
        rollBack(*connection, now);
        return;
    }
    dropConnection(connection->key, *group, *pool);
}

/// Ends the transaction of a caller that rests for too long, or the session of one that rests while this process stops.
void Engine::idleDue(CallerKey key, Caller &caller, TimePoint now)
{
    const auto phase = caller.session.phase();
    if (phase == TransactionPhase::Open || phase == TransactionPhase::BeginDeferred) {
        caller.session.transactionLost();
        endTransaction(caller, now);
        logOutcome(caller, "transaction-ended-idle", now);
    }
    if (drainUntil_ && phase == TransactionPhase::None) {
        actions_.emplace_back(CloseCaller{key});
    }
}

void Engine::callerDue(CallerKey key, Caller &caller, TimePoint now)
{
    if (caller.activity == Activity::Idle) {
        idleDue(key, caller, now);
        return;
    }
    if (caller.activity == Activity::Waiting) {
        auto &group = groupState(caller.group);
        const bool noPrimary = lacksPrimary(caller, group, now);
        if (noPrimary && now < caller.giveUpAt) {
            setTimer(key, caller, std::min<TimePoint>(caller.giveUpAt, now + limits_.connectionTimeout / 4));
            return;
        }
        dequeue(key, caller);
        const auto kind = noPrimary ? ErrorKind::NoPrimary : ErrorKind::Overloaded;
        fail(key, caller, Error{kind, "no connection became free in time"}.withRetryAfter(retryAfterOf(group)), now);
        return;
    }
    const bool early =
        caller.activity == Activity::Running && retryClassOf(caller.session, caller.statement) == RetryClass::Read && now < caller.giveUpAt;
    if (early && !shouldHedge(caller, now)) {
        setTimer(key, caller, std::min<TimePoint>(caller.giveUpAt, now + limits_.hedgeDelay / 2));
        return;
    }
    exchangeFailed(key, caller, ExchangeEnd::Silent, std::nullopt, now);
}

/// True when another member could answer a late read at once. One is asked besides the first at most: late answers are most often
/// those of busy members, and asking around would make them busier.
bool Engine::shouldHedge(Caller &caller, TimePoint now)
{
    if (caller.attempts >= limits_.maxHedgedMembers || budget_.balance() < 1) {
        return false;
    }
    auto &group = groupState(caller.group);
    const auto required = requiredPosition(caller, group, now);
    const auto connection = connections_.find(caller.connection);
    if (needsPrimary(caller) || !required || connection == connections_.end()) {
        const auto *pool = primaryPool(group, now);
        return pool != nullptr && pool->count(PooledConnectionState::Idle) > 0;
    }
    caller.failedMembers.push_back(connection->second.second);
    const bool other = chooseReader(caller, group, required, now) != nullptr;
    caller.failedMembers.pop_back();
    return other;
}

void Engine::setTimer(CallerKey key, Caller &caller, std::optional<TimePoint> at)
{
    if (caller.wakeAt) {
        timers_.erase({*caller.wakeAt, key});
    }
    caller.wakeAt = at;
    if (at) {
        timers_.emplace(*at, key);
    }
}

/// True when only the primary can serve the statement, whatever the replicas hold.
bool Engine::needsPrimary(const Caller &caller) const
{
    if (caller.route.consistency == Consistency::Current || caller.session.writes(caller.statement)) {
        return true;
    }
    return caller.session.phase() != TransactionPhase::None && !caller.session.readOnlyTransaction();
}

bool Engine::lacksPrimary(const Caller &caller, const Group &group, TimePoint now) const
{
    const bool needed = needsPrimary(caller) || !group.history.positionCovering(caller.freshFrom - caller.route.maxStaleness);
    return needed && !group.primary.usable(now);
}

/// When a refused caller should come back; spread, so that those refused together do not return together.
Milliseconds Engine::retryAfterOf(const Group &group)
{
    const auto load = Milliseconds{static_cast<std::int64_t>(group.waiting.size())};
    const auto base = std::clamp(load, limits_.minRetryAfter, limits_.maxRetryAfter);
    return base + Milliseconds{static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(base.count()) + 1))};
}

void Engine::logOutcome(const Caller &caller, std::string_view outcome, TimePoint now)
{
    const auto group = groups_.find(caller.group);
    const bool known = group != groups_.end();
    const auto connection = connections_.find(caller.connection);
    LogDecision decision{
        LogLevel::Info,
        "statement",
        {{"id", caller.statement.id},
         {"group", caller.group.text()},
         {"member", connection == connections_.end() ? std::string("-") : connection->second.second.text()},
         {"outcome", outcome},
         {"attempts", static_cast<std::int64_t>(caller.attempts)},
         {"took_ms", static_cast<std::int64_t>(wholeMilliseconds(now - caller.arrived).count())},
         {"configuration", static_cast<std::int64_t>(routes_.version())},
         {"generation", known ? static_cast<std::int64_t>(group->second.primary.generation) : 0},
         {"view_left_ms", known ? static_cast<std::int64_t>(wholeMilliseconds(group->second.primary.validUntil - now).count()) : 0}}};
    if (!caller.setupStatementId.empty()) {
        decision.fields.emplace_back("prelude", caller.setupStatementId);
    }
    if (!caller.transactionId.empty()) {
        decision.fields.emplace_back("transaction", caller.transactionId);
    }
    actions_.emplace_back(std::move(decision));
}

} // namespace cardamomstep::relay
