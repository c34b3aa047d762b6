// Handles members' replies, failed exchanges and the connections' life cycle.
#include "relay/engine.h"

#include <algorithm>

namespace cardamomstep::relay {

namespace {

/// Timeout for opening a connection, and for the reply to a rollback.
constexpr Milliseconds openTimeout{1000};

} // namespace

PooledConnection *Engine::findConnection(MemberConnectionKey key, Group **group, MemberPool **pool)
{
    const auto location = connections_.find(key);
    if (location == connections_.end()) {
        return nullptr;
    }
    *group = &groupState(location->second.first);
    *pool = &(*group)->pools.at(location->second.second);
    return (*pool)->find(key);
}

void Engine::connectionOpened(MemberConnectionKey key, const std::optional<LogPosition> &position, TimePoint now)
{
    Group *group = nullptr;
    MemberPool *pool = nullptr;
    auto *connection = findConnection(key, &group, &pool);
    if (connection == nullptr) {
        return;
    }
    connection->state = PooledConnectionState::Idle;
    connection->stateSince = now;
    if (position && connection->member != group->primary.member) {
        pool->position = std::max(pool->position, *position);
    }
    dispatchWaiting(*group, now);
}

void Engine::connectionReplied(MemberConnectionKey key, const MemberReply &reply, TimePoint now)
{
    Group *group = nullptr;
    MemberPool *pool = nullptr;
    auto *connection = findConnection(key, &group, &pool);
    if (connection == nullptr) {
        return;
    }
    if (connection->awaited.empty()) {
        connectionClosed(key, std::nullopt, now);
        return;
    }
    const auto awaited = connection->awaited.front();
    connection->awaited.pop_front();
    pool->onContact(now);
    if (awaited.purpose == ReplyPurpose::Statement) {
        pool->onReply(now - awaited.sentAt);
    }
    recordPosition(*group, *pool, *connection, awaited, reply, now);
    const bool rollbackFailed = awaited.purpose == ReplyPurpose::Rollback && reply.fault;
    connection->reusable = reply.state == SessionState::Idle && !rollbackFailed;
    if (awaited.purpose == ReplyPurpose::Setup && (reply.fault || reply.state == SessionState::Failed)) {
        actions_.emplace_back(CloseMemberConnection{key});
        connectionClosed(key, std::nullopt, now);
        return;
    }
    if (connection->state == PooledConnectionState::AwaitingReplies) {
        if (connection->awaited.empty()) {
            release(*connection, *group, now);
        }
        return;
    }
    if (awaited.purpose == ReplyPurpose::Begin) {
        beginReplied(*connection, *group, *pool, reply, now);
    } else if (awaited.purpose == ReplyPurpose::Setup && connection->awaited.empty()) {
        setupReplied(*connection, *group, now);
    } else if (awaited.purpose == ReplyPurpose::Statement) {
        statementReplied(*connection, *group, *pool, reply, now);
    }
}

/// Records the log position of a reply; the primary's covers everything that was acknowledged before the request was sent.
void Engine::recordPosition(Group &group,
                            MemberPool &pool,
                            const PooledConnection &connection,
                            const AwaitedReply &awaited,
                            const MemberReply &reply,
                            TimePoint now)
{
    if (!reply.position) {
        return;
    }
    if (connection.member == group.primary.member) {
        if (group.primary.usable(now) && awaited.purpose != ReplyPurpose::Setup) {
            group.history.confirm(awaited.sentAt, *reply.position);
        }
        return;
    }
    pool.position = std::max(pool.position, *reply.position);
}

/// Sends the statement for which the connection is set up now.
void Engine::setupReplied(PooledConnection &connection, Group &group, TimePoint now)
{
    auto &caller = callers_.at(connection.caller);
    if (!mayStillSend(caller, connection, group, now)) {
        exchangeFailed(connection.caller, caller, ExchangeEnd::NotSent, std::nullopt, now);
        return;
    }
    sendStatement(caller, connection, caller.required, now);
}

/// Returns true unless the choice of the connection became wrong while it was set up.
bool Engine::mayStillSend(const Caller &caller, const PooledConnection &connection, const Group &group, TimePoint now) const
{
    if (caller.fenced || connection.customer != caller.session.identity().customer) {
        return false;
    }
    const bool newStatementAtPrimary = caller.sentToPrimary && caller.session.phase() == TransactionPhase::None;
    return !newStatementAtPrimary || (connection.member == group.primary.member && primaryUsable(group, now));
}

void Engine::beginReplied(PooledConnection &connection, Group &group, MemberPool &pool, const MemberReply &reply, TimePoint now)
{
    auto &caller = callers_.at(connection.caller);
    if (reply.fault) {
        if (*reply.fault == MemberFault::Lagging) {
            pool.laggingUntil = now + limits_.laggingBackoff;
        }
        learnReply(caller, group, connection.member, reply.fault, now);
        exchangeFailed(connection.caller, caller, ExchangeEnd::Refused, reply.fault, now);
        return;
    }
    if (reply.state != SessionState::InTransaction) {
        actions_.emplace_back(CloseMemberConnection{connection.key});
        connectionClosed(connection.key, std::nullopt, now);
        return;
    }
    caller.session.transactionOpened();
    sendStatement(caller, connection, std::nullopt, now);
}

void Engine::statementReplied(PooledConnection &connection, Group &group, MemberPool &pool, const MemberReply &reply, TimePoint now)
{
    const auto key = connection.caller;
    auto &caller = callers_.at(key);
    const auto retryClass = retryClassOf(caller.session, caller.statement);
    const bool durable = retryClass == RetryClass::Write || retryClass == RetryClass::CommitOfWrites;
    if (durable && caller.fenced && !reply.fault) {
        exchangeFailed(key, caller, ExchangeEnd::Broken, std::nullopt, now);
        return;
    }
    if (reply.fault || reply.signature.empty()) {
        const auto fault = reply.fault.value_or(MemberFault::Unknown);
        learnReply(caller, group, connection.member, fault, now);
        if (fault == MemberFault::Lagging) {
            pool.laggingUntil = now + limits_.laggingBackoff;
        }
        if (fault == MemberFault::UnknownStatement) {
            connection.prepared.clear();
        }
        exchangeFailed(key, caller, ExchangeEnd::Refused, fault, now);
        return;
    }
    learnReply(caller, group, connection.member, std::nullopt, now);
    retryBudget_.succeeded();
    if (durable) {
        group.writeStallStartedAt.reset();
        group.acknowledged = std::max(group.acknowledged, reply.position.value_or(LogPosition{}));
    }
    caller.session.statementSucceeded(caller.statement, reply.position);
    CallerReply callerReply;
    callerReply.rows = reply.rows;
    callerReply.signature = reply.signature;
    callerReply.state = caller.session.state();
    callerReply.position = reply.position;
    answer(key, caller, std::move(callerReply), now);
    if (caller.session.phase() == TransactionPhase::None) {
        caller.connection = 0;
        connection.caller = 0;
        release(connection, group, now);
    }
}

/// Enqueues the statement again if that is safe, before its deadline and within the retry budget; otherwise answers with the error.
void Engine::exchangeFailed(CallerKey key, Caller &caller, ExchangeEnd end, std::optional<MemberFault> fault, TimePoint now)
{
    // Nothing of a transaction that is not open yet is kept at the member, so it can begin again elsewhere, as a read can run again.
    const bool beginDeferred = caller.session.phase() == TransactionPhase::BeginDeferred;
    const auto retryClass = beginDeferred ? RetryClass::Read : retryClassOf(caller.session, caller.statement);
    const bool settingUp = caller.activity == Activity::SettingUp;
    auto decision = classifyFailure(retryClass, settingUp ? ExchangeEnd::NotSent : end, fault);
    Group *group = nullptr;
    MemberPool *pool = nullptr;
    auto *connection = findConnection(caller.connection, &group, &pool);
    const auto member = connection == nullptr ? MemberName{} : connection->member;
    if (end == ExchangeEnd::Silent && connection != nullptr) {
        learnLostReply(caller, *group, member, false, now);
    }
    const bool exemptFromBudget = fault == MemberFault::Lagging || fault == MemberFault::UnknownStatement;
    const bool resend = !caller.ending && decision.mayResend && now < caller.deadline && caller.attempts < limits_.maxAttempts
        && (exemptFromBudget || retryBudget_.take());
    actions_.emplace_back(LogDecision{LogLevel::Info,
                                      "exchange_failed",
                                      {{"id", caller.statement.id},
                                       {"group", caller.group.text()},
                                       {"member", member.text()},
                                       {"kind", std::string(answerRule(decision.error.kind).name)},
                                       {"end", static_cast<std::int64_t>(end)},
                                       {"fault", fault ? static_cast<std::int64_t>(*fault) : -1},
                                       {"after_ms", static_cast<std::int64_t>(wholeMilliseconds(now - caller.sentAt).count())}}});
    if (resend && end == ExchangeEnd::Silent && connection != nullptr && !beginDeferred) {
        connection->caller = 0;
        connection->state = PooledConnectionState::AwaitingReplies;
        caller.connection = 0;
    } else if (end == ExchangeEnd::Silent && connection != nullptr) {
        pool->onFailure(now);
        dropConnection(caller.connection, *group, *pool);
        caller.connection = 0;
    } else if ((end == ExchangeEnd::Refused || end == ExchangeEnd::NotSent) && connection != nullptr
               && (beginDeferred || caller.session.phase() == TransactionPhase::None)) {
        connection->caller = 0;
        caller.connection = 0;
        release(*connection, *group, now);
    }
    if (resend) {
        if (!member.empty() && fault != MemberFault::UnknownStatement) {
            caller.failedMembers.push_back(member);
        }
        enqueue(key, caller, groupState(caller.group), now);
        return;
    }
    if (answerRule(decision.error.kind).retryable && decision.error.ran == Ran::No) {
        decision.error = std::move(decision.error).withRetryAfter(retryAfterOf(groupState(caller.group), now));
    }
    answerError(key, caller, std::move(decision.error), now);
}

void Engine::connectionClosed(MemberConnectionKey key, std::optional<MemberFault> refusal, TimePoint now)
{
    Group *group = nullptr;
    MemberPool *pool = nullptr;
    auto *connection = findConnection(key, &group, &pool);
    if (connection == nullptr) {
        return;
    }
    const auto callerKey = connection->caller;
    const bool wasOpening = connection->state == PooledConnectionState::Opening;
    const bool wasIdle = connection->state == PooledConnectionState::Idle;
    actions_.emplace_back(LogDecision{LogLevel::Info,
                                      "link_closed",
                                      {{"member", connection->member.text()},
                                       {"opening", static_cast<std::int64_t>(wasOpening ? 1 : 0)},
                                       {"refusal", refusal ? static_cast<std::int64_t>(*refusal) : -1}}});
    pool->remove(key);
    connections_.erase(key);
    if (refusal == MemberFault::TooManyConnections) {
        pool->onContact(now);
        pool->onLimitRefused(now);
    } else if (!wasIdle) {
        pool->onFailure(now);
    }
    const auto member = pool->entry().name;
    const auto found = callers_.find(callerKey);
    if (callerKey == 0 || found == callers_.end()) {
        return;
    }
    auto &caller = found->second;
    caller.connection = 0;
    if (caller.activity == Activity::Idle) {
        caller.session.transactionLost();
        return;
    }
    learnLostReply(caller, *group, member, true, now);
    exchangeFailed(callerKey, caller, ExchangeEnd::Broken, std::nullopt, now);
}

/// Makes a connection available to other callers, or closes it if its member is draining.
void Engine::release(PooledConnection &connection, Group &group, TimePoint now)
{
    if (connection.state == PooledConnectionState::InUse) {
        recordSlotTime(connection, group, now);
    }
    connection.caller = 0;
    connection.state = PooledConnectionState::Idle;
    connection.stateSince = now;
    auto &pool = group.pools.at(connection.member);
    if (!keepsConnections(group, pool, now)) {
        dropConnection(connection.key, group, pool);
        return;
    }
    if (!connection.reusable) {
        dropConnection(connection.key, group, pool);
        dispatchWaiting(group, now);
        return;
    }
    if (customers_.keysRequired() && yieldsToAnotherCustomer(connection, group, pool, now)) {
        dropConnection(connection.key, group, pool);
        dispatchWaiting(group, now);
        return;
    }
    dispatchWaiting(group, now);
    if (const auto surplusKey = pool.surplusConnection(now); surplusKey != 0) {
        dropConnection(surplusKey, group, pool);
    }
}

/// Rolls back the member's transaction on a connection whose caller has already been answered.
void Engine::rollBack(PooledConnection &connection, TimePoint now)
{
    connection.state = PooledConnectionState::AwaitingReplies;
    expectReply(connection, ReplyPurpose::Rollback, now, openTimeout);
    actions_.emplace_back(SendToMember{connection.key, {MemberRequest{MemberVerb::Rollback}}});
}

void Engine::dropConnection(MemberConnectionKey key, Group & /*group*/, MemberPool &pool)
{
    pool.remove(key);
    connections_.erase(key);
    actions_.emplace_back(CloseMemberConnection{key});
}

/// Logs once for each primary that its drain time is over although it still leads.
void Engine::logDrainTimeOver(Group &group, TimePoint now)
{
    const auto pool = group.pools.find(group.primary.member);
    if (pool == group.pools.end() || !drainTimeOver(pool->second, now) || group.drainOverLogged == group.primary.generation) {
        return;
    }
    group.drainOverLogged = group.primary.generation;
    actions_.emplace_back(
        LogDecision{LogLevel::Warning,
                    "primary_drain_over",
                    {{"group", group.config.group.text()},
                     {"member", group.primary.member.text()},
                     {"generation", static_cast<std::int64_t>(group.primary.generation)},
                     {"leaving_ms", static_cast<std::int64_t>(wholeMilliseconds(now - *pool->second.drainingSince).count())}}});
}

/// Closes connections that are silent, that did not open in time, or that are not needed.
void Engine::maintainConnections(Group &group, TimePoint now)
{
    for (auto &[name, pool] : group.pools) {
        std::vector<MemberConnectionKey> silent;
        for (const auto &[key, connection] : pool.connections()) {
            const bool unopened = connection.state == PooledConnectionState::Opening && now - connection.stateSince >= openTimeout;
            const bool unanswered = connection.state == PooledConnectionState::AwaitingReplies && !connection.awaited.empty()
                && now >= connection.awaited.front().silentAt;
            if (unopened || unanswered) {
                silent.push_back(key);
            }
        }
        for (const auto key : silent) {
            actions_.emplace_back(CloseMemberConnection{key});
            connectionClosed(key, std::nullopt, now);
        }
        const auto surplusKey = pool.surplusConnection(now);
        if (surplusKey != 0) {
            dropConnection(surplusKey, group, pool);
        }
        if (keepsConnections(group, pool, now)) {
            continue;
        }
        while (auto *idle = pool.anyIdle()) {
            dropConnection(idle->key, group, pool);
        }
    }
}

} // namespace cardamomstep::relay
