// Callers' statements: admission, answers, timeouts and the end of transactions.
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

Error Engine::withdrawnInTransaction()
{
    return {ErrorKind::TransactionAborted, "the key was withdrawn; the transaction is rolled back"};
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
    if (caller.ending) {
        const bool inTransaction = caller.session.phase() != TransactionPhase::None;
        refuseEndedSession(key, caller, inTransaction ? withdrawnInTransaction() : *caller.ending, now);
        return;
    }
    if (refusedWhileDraining(caller, now)) {
        answerError(key, caller, Error{ErrorKind::Draining, "this proxy is stopping"}.withRetryAfter(limits_.minRetryAfter), now);
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

/// Records the ids of the transaction's begin and of the session setup, which log lines of the following statements contain.
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

/// Returns true for the begin of a transaction that this process could not finish before it ends.
bool Engine::refusedWhileDraining(const Caller &caller, TimePoint now) const
{
    const bool begins = caller.statement.kind == StatementKind::Begin && caller.session.phase() == TransactionPhase::None;
    return begins && drainUntil_ && now + limits_.minDrainTimeForBegin >= *drainUntil_;
}

/// Sends a statement of an open transaction on the transaction's connection; for any other statement, checks the customer's limit, looks up
/// the route and enqueues it.
void Engine::admit(CallerKey key, Caller &caller, TimePoint now)
{
    if (caller.session.phase() == TransactionPhase::Open) {
        caller.deadline = now + caller.route.statementTimeout;
        Group *group = nullptr;
        MemberPool *pool = nullptr;
        auto *connection = findConnection(caller.connection, &group, &pool);
        if (connection == nullptr || caller.fenced || connection->customer != caller.session.identity().customer) {
            answerError(
                key,
                caller,
                Error{ErrorKind::TransactionAborted, "the connection, the primary or the key was lost; the transaction is rolled back"},
                now);
            return;
        }
        sendStatement(caller, *connection, std::nullopt, now);
        return;
    }
    const auto *route = routes_.find(caller.session.database());
    if (route == nullptr) {
        answerError(key, caller, Error{ErrorKind::UnknownService, caller.session.database().text()}, now);
        return;
    }
    caller.route = *route;
    caller.freshFrom = now;
    caller.fenced = false;
    caller.deadline = now + route->statementTimeout;
    caller.group = route->group;
    // This point is reached once for each operation; retries go to enqueue() directly.
    const auto admitted = customerLimits_.admit(caller.session.identity().customer, now);
    if (!admitted) {
        answerError(key, caller, admitted.error(), now);
        return;
    }
    enqueue(key, caller, groupState(route->group), now);
}

void Engine::answer(CallerKey key, Caller &caller, CallerReply reply, TimePoint now)
{
    if (caller.activity != Activity::Idle || reply.error) {
        logOutcome(caller, outcomeOf(reply), now);
    }
    caller.activity = Activity::Idle;
    const auto state = reply.state;
    actions_.emplace_back(ReplyToCaller{key, std::move(reply), caller.group, caller.statement.kind, now - caller.arrived});
    if (caller.ending) {
        endIdleSession(key, caller, now);
        return;
    }
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

/// Closes an idle session while draining; waits for drainIdleTimeout if its next statement is expected.
void Engine::endWhenIdle(CallerKey key, Caller &caller, TimePoint now)
{
    if (caller.awaitsStatementAfterSetup()) {
        setTimer(key, caller, now + limits_.drainIdleTimeout);
        return;
    }
    actions_.emplace_back(CloseCaller{key});
}

/// Answers the current statement with \a error.
void Engine::answerError(CallerKey key, Caller &caller, Error error, TimePoint now)
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

/// Releases the caller's connection.
///
/// An open transaction is rolled back, by closing the connection if a reply is still awaited. Outside a transaction, a statement in
/// progress runs to its end at the member, and its reply is ignored.
void Engine::endTransaction(Caller &caller, TimePoint now)
{
    Group *group = nullptr;
    MemberPool *pool = nullptr;
    auto *connection = findConnection(std::exchange(caller.connection, 0), &group, &pool);
    if (connection == nullptr) {
        return;
    }
    recordSlotTime(*connection, *group, now);
    const bool inTransaction = caller.activity == Activity::Beginning || caller.session.phase() != TransactionPhase::None
        || caller.statement.kind == StatementKind::Rollback || caller.statement.kind == StatementKind::Commit;
    connection->caller = 0;
    connection->state = PooledConnectionState::AwaitingReplies;
    connection->stateSince = now;
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

/// Ends the transaction of a caller that has been idle for too long, or an idle session while draining.
void Engine::onIdleTimer(CallerKey key, Caller &caller, TimePoint now)
{
    if (caller.ending) {
        actions_.emplace_back(CloseCaller{key});
        return;
    }
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

void Engine::onCallerTimer(CallerKey key, Caller &caller, TimePoint now)
{
    if (caller.activity == Activity::Idle) {
        onIdleTimer(key, caller, now);
        return;
    }
    if (caller.activity == Activity::Waiting) {
        auto &group = groupState(caller.group);
        const bool noPrimary = lacksPrimary(caller, group, now);
        if (noPrimary && now < caller.deadline) {
            setTimer(key, caller, std::min<TimePoint>(caller.deadline, now + limits_.connectionTimeout / 4));
            return;
        }
        dequeue(key, caller);
        const auto kind = noPrimary ? ErrorKind::NoPrimary : ErrorKind::Overloaded;
        answerError(key,
                    caller,
                    Error{kind, "no usable primary or no free connection before the timeout"}.withRetryAfter(retryAfterOf(group, now)),
                    now);
        return;
    }
    const bool mayHedge =
        caller.activity == Activity::Running && retryClassOf(caller.session, caller.statement) == RetryClass::Read && now < caller.deadline;
    if (mayHedge && !shouldHedge(caller, now)) {
        setTimer(key, caller, std::min<TimePoint>(caller.deadline, now + limits_.hedgeDelay / 2));
        return;
    }
    exchangeFailed(key, caller, ExchangeEnd::Silent, std::nullopt, now);
}

/// Returns true if another member could serve an overdue read at once.
///
/// The read is sent to maxHedgedMembers members at most: replies are most often overdue because members are busy, and more copies of the
/// read would increase their load.
bool Engine::shouldHedge(Caller &caller, TimePoint now)
{
    if (caller.ending || caller.attempts >= limits_.maxHedgedMembers || retryBudget_.balance() < 1) {
        return false;
    }
    auto &group = groupState(caller.group);
    const auto required = requiredPosition(caller, group, now);
    const auto connection = connections_.find(caller.connection);
    if (needsPrimary(caller) || !required || connection == connections_.end()) {
        const auto *pool = primaryPool(group, now);
        return pool != nullptr && pool->hasIdle(caller.session.identity().customer);
    }
    caller.failedMembers.push_back(connection->second.second);
    const bool otherMember = chooseReader(caller, group, required, now) != nullptr;
    caller.failedMembers.pop_back();
    return otherMember;
}

void Engine::setTimer(CallerKey key, Caller &caller, std::optional<TimePoint> at)
{
    if (caller.timerAt) {
        timers_.erase({*caller.timerAt, key});
    }
    caller.timerAt = at;
    if (at) {
        timers_.emplace(*at, key);
    }
}

/// Returns true if only the primary can serve the statement, independent of how recent the replicas are.
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
    return needed && !primaryUsable(group, now);
}

void Engine::logOutcome(const Caller &caller, std::string_view outcome, TimePoint now)
{
    const auto group = groups_.find(caller.group);
    const bool groupKnown = group != groups_.end();
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
         {"generation", groupKnown ? static_cast<std::int64_t>(group->second.primary.generation) : 0},
         {"view_left_ms", groupKnown ? static_cast<std::int64_t>(wholeMilliseconds(group->second.primary.validUntil - now).count()) : 0}}};
    if (connection != connections_.end() && groupKnown) {
        const auto pool = group->second.pools.find(connection->second.second);
        if (pool != group->second.pools.end() && pool->second.drainingSince) {
            decision.fields.emplace_back("member_leaving_ms",
                                         static_cast<std::int64_t>(wholeMilliseconds(now - *pool->second.drainingSince).count()));
        }
    }
    if (!caller.setupStatementId.empty()) {
        decision.fields.emplace_back("prelude", caller.setupStatementId);
    }
    if (!caller.transactionId.empty()) {
        decision.fields.emplace_back("transaction", caller.transactionId);
    }
    actions_.emplace_back(std::move(decision));
}

} // namespace cardamomstep::relay
