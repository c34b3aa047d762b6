// Assigns connections to statements, opens further connections and applies session setup to them.
#include "relay/engine.h"

#include <algorithm>

namespace cardamomstep::relay {

namespace {

/// Timeout for replies to this process's own requests.
constexpr Milliseconds ownRequestTimeout{1000};
/// The primary is no longer probed after this many probe intervals without a read that needed its position.
constexpr int probeIntervalsAfterUse = 4;

} // namespace

/// Assigns an idle connection to \a caller; returns false if there is none that can serve it.
bool Engine::tryServe(CallerKey key, Caller &caller, Group &group, TimePoint now)
{
    const auto required = requiredPosition(caller, group, now);
    MemberPool *pool = nullptr;
    if (!needsPrimary(caller) && required) {
        pool = chooseReader(caller, group, required, now);
    } else {
        pool = primaryPool(group, now);
    }
    auto *connection = pool == nullptr ? nullptr : pool->bestIdle(caller.session.identity().customer, caller.session.values());
    if (connection == nullptr) {
        return false;
    }
    assignConnection(key, caller, *connection, required, now);
    return true;
}

/// Returns the log position that a replica must have to serve the caller's read; nothing if it is unknown or the primary is needed.
std::optional<LogPosition> Engine::requiredPosition(const Caller &caller, Group &group, TimePoint now) const
{
    if (needsPrimary(caller)) {
        return std::nullopt;
    }
    group.positionNeededAt = now;
    return positionFor(caller, group);
}

/// Returns the log position for a read that does not need the primary.
std::optional<LogPosition> Engine::positionFor(const Caller &caller, const Group &group)
{
    auto required = group.history.positionCovering(caller.freshFrom - caller.route.maxStaleness);
    if (required && caller.route.consistency == Consistency::ReadYourWrites && caller.session.lastCommit()) {
        required = std::max(*required, *caller.session.lastCommit());
    }
    return required;
}

/// Returns true if the member announced its departure so long ago that it gets no new work, even if no successor leads yet.
bool Engine::drainTimeOver(const MemberPool &pool, TimePoint now) const noexcept
{
    const auto margin = std::min(limits_.memberDrainMargin, limits_.memberDrain / 4);
    return pool.drainingSince && now - *pool.drainingSince >= limits_.memberDrain - margin;
}

/// Returns true if new statements may be sent to the group's primary.
bool Engine::primaryUsable(const Group &group, TimePoint now) const
{
    if (!group.primary.usable(now)) {
        return false;
    }
    const auto pool = group.pools.find(group.primary.member);
    return pool == group.pools.end() || !drainTimeOver(pool->second, now);
}

/// Returns true if idle connections to the member are kept: it is not draining, or it is the primary and has drain time left.
bool Engine::keepsConnections(const Group &group, const MemberPool &pool, TimePoint now) const
{
    const bool primary = pool.entry().name == group.primary.member;
    return !pool.entry().draining || (primary && !drainTimeOver(pool, now));
}

MemberPool *Engine::primaryPool(Group &group, TimePoint now)
{
    if (!primaryUsable(group, now)) {
        return nullptr;
    }
    const auto found = group.pools.find(group.primary.member);
    return found == group.pools.end() ? nullptr : &found->second;
}

/// Returns the member with an idle connection and the lowest expected cost of a read; the primary has an extra cost.
MemberPool *Engine::chooseReader(const Caller &caller, Group &group, const std::optional<LogPosition> &required, TimePoint now)
{
    MemberPool *best = nullptr;
    Microseconds lowestCost{0};
    std::vector<MemberPool *> learned;
    for (auto &[name, pool] : group.pools) {
        if (readerExclusion(caller, group, pool, required, now)) {
            continue;
        }
        if (limits_.learnMemberCapacity) {
            learned.push_back(&pool);
            continue;
        }
        // Up to 2 ms are added at random, so that members of similar cost share the reads.
        const auto cost = readerCost(group, pool) + Microseconds{static_cast<std::int64_t>(random_.below(2'000))};
        if (best == nullptr || cost < lowestCost) {
            best = &pool;
            lowestCost = cost;
        }
    }
    return limits_.learnMemberCapacity ? chooseByCapacity(caller, group, learned, now) : best;
}

std::optional<ReaderExclusion> Engine::readerExclusion(
    const Caller &caller, const Group &group, const MemberPool &pool, const std::optional<LogPosition> &required, TimePoint now) const
{
    const auto &name = pool.entry().name;
    const bool primary = name == group.primary.member;
    if (std::find(caller.failedMembers.begin(), caller.failedMembers.end(), name) != caller.failedMembers.end()) {
        return ReaderExclusion::FailedThisStatement;
    }
    if (primary && !primaryUsable(group, now)) {
        return ReaderExclusion::PrimaryUnusable;
    }
    if (!primary && pool.entry().draining) {
        return ReaderExclusion::Draining;
    }
    if (!pool.usable(now)) {
        return ReaderExclusion::Backoff;
    }
    if (!pool.hasIdle(caller.session.identity().customer)) {
        return ReaderExclusion::NoIdleConnection;
    }
    if (!primary && now < pool.laggingUntil && pool.position < *required) {
        return ReaderExclusion::Lagging;
    }
    return std::nullopt;
}

Microseconds Engine::readerCost(const Group &group, const MemberPool &pool) const
{
    const auto inUse = pool.count(PooledConnectionState::InUse);
    const bool primary = pool.entry().name == group.primary.member;
    if (limits_.learnMemberCapacity) {
        return group.capacity.expectedCost(pool.entry().name, inUse) + (primary ? limits_.learnedPrimaryPenalty : Microseconds{0});
    }
    const auto running = static_cast<std::int64_t>(inUse);
    Microseconds cost = pool.replyTime().mean() * (1 + running) / 2;
    cost += primary ? limits_.primaryPenalty : Microseconds{0};
    cost += pool.entry().failureDomain == ownDomain_ ? Microseconds{0} : limits_.remotePenalty;
    return cost;
}

/// Opens connections for waiting callers, as far as the limits allow.
void Engine::openConnections(Group &group, TimePoint now)
{
    if (customers_.keysRequired()) {
        openCustomerConnections(group, now);
        return;
    }
    std::size_t forPrimary = 0;
    std::size_t forReaders = 0;
    for (const auto key : group.waiting.callers()) {
        const auto &caller = callers_.at(key);
        const bool primary = needsPrimary(caller) || !requiredPosition(caller, group, now);
        ++(primary ? forPrimary : forReaders);
    }
    for (auto &[name, pool] : group.pools) {
        const bool primary = name == group.primary.member;
        if (primary ? !primaryUsable(group, now) : pool.entry().draining) {
            continue;
        }
        // Reads go to replicas where possible, so only a quarter of the waiting ones counts for the primary.
        const auto wantedConnections = primary ? forPrimary + forReaders / 4 : forReaders;
        const bool keepOne = pool.size() == 0 && pool.fairShare() > 0 && !drainUntil_;
        auto opening = pool.count(PooledConnectionState::Opening);
        while ((opening < wantedConnections || (keepOne && opening == 0)) && opening < limits_.maxOpeningPerMember && pool.mayOpen(now)) {
            openConnection(group, pool, CustomerName{}, now);
            ++opening;
        }
    }
}

void Engine::openConnection(Group &group, MemberPool &pool, const CustomerName &customer, TimePoint now)
{
    const auto key = nextConnection_++;
    auto &connection = pool.add(key, now, customer);
    connection.group = group.config.group;
    connections_.emplace(key, std::make_pair(connection.group, connection.member));
    actions_.emplace_back(OpenMemberConnection{key, connection.member, connection.group, pool.entry().address, customer});
}

void Engine::assignConnection(
    CallerKey key, Caller &caller, PooledConnection &connection, const std::optional<LogPosition> &required, TimePoint now)
{
    auto &group = groupState(caller.group);
    connection.state = PooledConnectionState::InUse;
    connection.caller = key;
    connection.stateSince = now;
    caller.connection = connection.key;
    caller.sentToPrimary = connection.member == group.primary.member;
    caller.fenced = false;
    ++caller.attempts;
    const auto minPosition = caller.sentToPrimary ? std::nullopt : required;
    if (caller.session.phase() == TransactionPhase::None) {
        sendStatement(caller, connection, minPosition, now);
        return;
    }
    caller.activity = Activity::Beginning;
    // The caller's statement waits for the reply to BEGIN, so it waits for the setup as well.
    auto requests = setupRequests(caller, connection, now);
    MemberRequest begin;
    begin.verb = caller.session.readOnlyTransaction() ? MemberVerb::BeginReadOnly : MemberVerb::Begin;
    begin.minPosition = minPosition;
    requests.push_back(std::move(begin));
    expectReply(connection, ReplyPurpose::Begin, now, caller.route.statementTimeout);
    caller.sentAt = now;
    setTimer(key, caller, caller.deadline);
    actions_.emplace_back(SendToMember{connection.key, std::move(requests)});
}

/// Sends the caller's statement, or first the setup that the connection lacks for it: a member may fail a setup request, and then runs the
/// requests behind it all the same.
void Engine::sendStatement(Caller &caller, PooledConnection &connection, const std::optional<LogPosition> &required, TimePoint now)
{
    auto &group = groupState(caller.group);
    auto &pool = group.pools.at(connection.member);
    const auto retryClass = retryClassOf(caller.session, caller.statement);
    if (auto setup = setupRequests(caller, connection, now); !setup.empty()) {
        caller.activity = Activity::SettingUp;
        caller.required = required;
        caller.sentAt = now;
        // Nothing of the caller's has been sent, so a write can be given up here as early as a transaction's statement.
        setTimer(connection.caller,
                 caller,
                 replyDue(caller, pool, retryClass == RetryClass::Read ? retryClass : RetryClass::InTransaction, now));
        actions_.emplace_back(SendToMember{connection.key, std::move(setup)});
        return;
    }
    MemberRequest request;
    request.id = caller.statement.id;
    request.text = caller.statement.text;
    request.minPosition = required;
    if (caller.statement.kind == StatementKind::Execute) {
        request.verb = MemberVerb::ExecutePrepared;
        request.name = preparedNameOf(*caller.session.prepared(caller.statement.name));
        request.text = caller.statement.argument;
    }
    expectReply(connection, ReplyPurpose::Statement, now, caller.route.statementTimeout);
    caller.activity = Activity::Running;
    caller.sentAt = now;
    caller.othersInFlight = pool.count(PooledConnectionState::InUse) - 1;
    if (retryClass == RetryClass::Write || retryClass == RetryClass::CommitOfWrites) {
        group.writeStallStartedAt = group.writeStallStartedAt.value_or(now);
    }
    setTimer(connection.caller, caller, replyDue(caller, pool, retryClass, now));
    actions_.emplace_back(SendToMember{connection.key, {std::move(request)}});
}

/// Returns when the reply to what is sent now for the caller counts as overdue.
TimePoint Engine::replyDue(const Caller &caller, const MemberPool &pool, RetryClass retryClass, TimePoint now) const
{
    const auto overdueAfter = wholeMilliseconds(pool.replyTime().withMargin(limits_.overdueFactor));
    if (retryClass == RetryClass::Read && caller.attempts < limits_.maxAttempts) {
        return std::min<TimePoint>(caller.deadline, now + std::max(limits_.hedgeDelay, overdueAfter));
    }
    if (retryClass == RetryClass::InTransaction) {
        return std::min<TimePoint>(caller.deadline, now + std::max(limits_.transactionReplyTimeout, overdueAfter));
    }
    return caller.deadline;
}

/// Returns the requests that apply the session's values and the prepared statement of an Execute to the connection, and expects their
/// replies.
std::vector<MemberRequest> Engine::setupRequests(const Caller &caller, PooledConnection &connection, TimePoint now)
{
    std::vector<MemberRequest> requests;
    const auto &values = caller.session.values();
    const bool hasExtraValues = std::any_of(
        connection.values.begin(), connection.values.end(), [&values](const auto &current) { return !values.contains(current.first); });
    const auto add = [&](MemberRequest request) {
        requests.push_back(std::move(request));
        expectReply(connection, ReplyPurpose::Setup, now, ownRequestTimeout);
    };
    if (hasExtraValues) {
        add(MemberRequest{MemberVerb::ResetSession});
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto &[name, value] : values) {
        auto &current = connection.values[name];
        if (current != value) {
            current = value;
            add(MemberRequest{MemberVerb::SetValue, {}, value, name});
        }
    }
    if (caller.statement.kind != StatementKind::Execute) {
        return requests;
    }
    const auto &shape = *caller.session.prepared(caller.statement.name);
    if (connection.prepared.insert(preparedNameOf(shape)).second) {
        add(MemberRequest{MemberVerb::Prepare, {}, shape.shape, preparedNameOf(shape), shape.access});
    }
    return requests;
}

void Engine::expectReply(PooledConnection &connection, ReplyPurpose purpose, TimePoint now, Milliseconds timeout)
{
    connection.awaited.push_back(AwaitedReply{purpose, now, now + timeout});
}

/// Queries the primary's log position if reads depend on it and no reply has confirmed it recently.
void Engine::probe(Group &group, TimePoint now)
{
    if (now - group.positionNeededAt > limits_.probeInterval * probeIntervalsAfterUse || now - group.probedAt < limits_.probeInterval) {
        return;
    }
    if (group.history.positionCovering(now - limits_.probeInterval)) {
        return;
    }
    auto *pool = primaryPool(group, now);
    auto *connection = pool == nullptr ? nullptr : pool->anyIdle();
    if (connection == nullptr) {
        return;
    }
    group.probedAt = now;
    connection->state = PooledConnectionState::AwaitingReplies;
    connection->stateSince = now;
    expectReply(*connection, ReplyPurpose::Probe, now, ownRequestTimeout);
    actions_.emplace_back(SendToMember{connection->key, {MemberRequest{MemberVerb::Status}}});
}

} // namespace cardamomstep::relay
