// Sessions and their customers: who may open a session, whose sessions end, and connections that belong to one customer.
#include "relay/engine.h"
#include "relay/poolplacement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomstep::relay {

Result<customers::CallerIdentity> Engine::identify(const DatabaseName &database, std::string_view key)
{
    if (!routes_.isLoaded()) {
        return Error{ErrorKind::NotReady, "the configuration is not known yet"}.withRetryAfter(limits_.maxRetryAfter);
    }
    if (!customers_.keysRequired()) {
        return customers::CallerIdentity{};
    }
    const auto digest = customers::KeyDigest::of(key);
    auto identity = resolveKey(database, digest);
    if (!identity) {
        actions_.emplace_back(LogDecision{LogLevel::Info,
                                          "session_refused",
                                          {{"database", database.text()},
                                           {"outcome", std::string(answerRule(identity.error().kind).name)},
                                           {"key", digest.shortText()},
                                           {"configuration", static_cast<std::int64_t>(routes_.version())}}});
    }
    return identity;
}

Result<Success> Engine::callerOpened(CallerKey key, const DatabaseName &database, const customers::CallerIdentity &identity, TimePoint now)
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
    // The configuration may have changed since the caller was identified, while another proxy was tried.
    const auto current = customers_.keysRequired() ? resolveKey(database, identity.key) : Result<customers::CallerIdentity>(identity);
    if (!current) {
        return current.error();
    }
    return callerAdopted(key, CallerSession(database, *current), now);
}

Result<Success> Engine::callerAdopted(CallerKey key, const CallerSession &session, TimePoint now)
{
    if (routes_.find(session.database()) == nullptr) {
        return Error{ErrorKind::UnknownService, session.database().text()};
    }
    if (auto fault = identityFault(session.database(), session.identity())) {
        return *fault;
    }
    auto &caller = callers_.emplace(key, Caller(session)).first->second;
    if (customers_.keysRequired() && isPublic(session.database())) {
        caller.session.setIdentity(*resolveKey(session.database(), session.identity().key));
    }
    caller.arrived = now;
    if (drainUntil_) {
        setTimer(key, caller, now + limits_.drainIdleTimeout);
    }
    return Success{};
}

/// Returns on whose behalf a caller with \a key uses \a database now; \a key is missing if none was needed when the caller connected.
Result<customers::CallerIdentity> Engine::resolveKey(const DatabaseName &database, const std::optional<customers::KeyDigest> &key) const
{
    const auto *holder = key ? customers_.holderOf(*key) : nullptr;
    if (holder != nullptr) {
        return customers::CallerIdentity{*holder, key};
    }
    if (isPublic(database)) {
        return customers::CallerIdentity{customers::publicCallers(), key};
    }
    if (!key) {
        return Error{ErrorKind::NotReady, "the caller connected before keys were needed"}.withRetryAfter(limits_.minRetryAfter);
    }
    return Error{ErrorKind::Unauthorized, "the key is not known"};
}

bool Engine::isPublic(const DatabaseName &database) const
{
    const auto *route = routes_.find(database);
    return route != nullptr && route->isPublic;
}

std::optional<Error> Engine::identityFault(const DatabaseName &database, const customers::CallerIdentity &identity) const
{
    if (!customers_.keysRequired() || isPublic(database)) {
        return std::nullopt;
    }
    const auto *holder = identity.key ? customers_.holderOf(*identity.key) : nullptr;
    if (identity.key && holder == nullptr) {
        return Error{ErrorKind::Unauthorized, "the key was withdrawn"};
    }
    // Without a digest the key may be known, so the caller is not told that it is not: it may connect again.
    if (holder == nullptr || *holder != identity.customer) {
        return Error{ErrorKind::TransactionAborted, "the session's key belongs to another customer now"};
    }
    return std::nullopt;
}

/// Ends the sessions whose key the new configuration withdrew or gave to another customer.
///
/// All of them are marked before any is ended: a connection that one of them releases must not serve another.
void Engine::endSessionsOfChangedKeys(TimePoint now)
{
    if (!customers_.keysRequired()) {
        return;
    }
    std::map<std::pair<CustomerName, std::string>, std::int64_t> sessionsByKey;
    std::vector<CallerKey> changed;
    for (auto &[key, caller] : callers_) {
        const auto &identity = caller.session.identity();
        if (caller.ending) {
            continue;
        }
        if (isPublic(caller.session.database())) {
            auto current = *resolveKey(caller.session.database(), identity.key);
            if (current.customer != identity.customer) {
                caller.session.setIdentity(std::move(current));
                changed.push_back(key);
            }
            continue;
        }
        caller.ending = identityFault(caller.session.database(), identity);
        if (!caller.ending) {
            continue;
        }
        changed.push_back(key);
        ++sessionsByKey[{identity.customer, identity.key ? identity.key->shortText() : "-"}];
        if (caller.activity == Activity::Waiting) {
            dequeue(key, caller);
        }
    }
    for (const auto &[key, sessions] : sessionsByKey) {
        actions_.emplace_back(
            LogDecision{LogLevel::Info, "key_withdrawn", {{"customer", key.first.text()}, {"key", key.second}, {"sessions", sessions}}});
    }
    for (const auto key : changed) {
        endSession(key, callers_.at(key), now);
    }
}

/// Ends a session whose key was withdrawn, as far as its state allows. One on a public route stays open, but a transaction that is being
/// opened under its former name ends; admit() ends one that is open.
void Engine::endSession(CallerKey key, Caller &caller, TimePoint now)
{
    if (!caller.ending) {
        if (caller.activity == Activity::Beginning) {
            answerError(key, caller, Error{ErrorKind::TransactionAborted, "the session's customer changed"}, now);
        }
        return;
    }
    switch (caller.activity) {
    case Activity::Idle:
        endIdleSession(key, caller, now);
        break;
    case Activity::Waiting:
    case Activity::Beginning:
    case Activity::SettingUp: {
        auto error = caller.session.phase() == TransactionPhase::Open ? withdrawnInTransaction() : *caller.ending;
        refuseEndedSession(key, caller, std::move(error), now);
        break;
    }
    case Activity::Running:
        // The reply is delivered; answer() ends the session then.
        break;
    }
}

/// Closes an idle session whose key was withdrawn. A transaction is rolled back, and the caller learns it by its next statement.
void Engine::endIdleSession(CallerKey key, Caller &caller, TimePoint now)
{
    const auto phase = caller.session.phase();
    if (phase == TransactionPhase::None) {
        setTimer(key, caller, std::nullopt);
        actions_.emplace_back(CloseCaller{key});
        return;
    }
    if (phase == TransactionPhase::Open || phase == TransactionPhase::BeginDeferred) {
        caller.session.transactionLost();
        endTransaction(caller, now);
    }
    setTimer(key, caller, now + routes_.transactionIdle());
}

/// Answers a statement that was not sent with \a error, and closes the session.
void Engine::refuseEndedSession(CallerKey key, Caller &caller, Error error, TimePoint now)
{
    caller.session.statementFailed(caller.statement);
    endTransaction(caller, now);
    CallerReply reply;
    reply.error = std::move(error);
    reply.state = caller.session.state();
    logOutcome(caller, answerRule(reply.error->kind).name, now);
    caller.activity = Activity::Idle;
    setTimer(key, caller, std::nullopt);
    actions_.emplace_back(ReplyToCaller{key, std::move(reply), caller.group, caller.statement.kind, now - caller.arrived});
    actions_.emplace_back(CloseCaller{key});
}

void Engine::setConnectionShare(double fractionOfAllRates)
{
    connectionShare_ = std::clamp(fractionOfAllRates, 0.0, 1.0);
    for (auto &[name, group] : groups_) {
        updatePoolLimits(group);
    }
}

/// Divides the members' connections by the rates of the customers that each proxy serves: a guaranteed number, and up to twice as many
/// while others leave theirs unused (Memshare's guaranteed and surplus memory).
void Engine::updateCustomerPoolLimits(Group &group, std::uint32_t plannedConnections)
{
    constexpr std::uint32_t minMaxConnections = 2;
    constexpr std::uint32_t surplusFactor = 2;
    const double share = connectionShare_.value_or(group.poolCount == 0 ? 0.0 : 1.0 / group.poolCount);
    const auto guaranteed = guaranteedConnections(share, plannedConnections);
    const auto maxConnections = std::min(plannedConnections, std::max(minMaxConnections, surplusFactor * guaranteed));
    for (auto &[name, pool] : group.pools) {
        pool.setConnectionLimits(guaranteed, std::max<std::uint32_t>(1, maxConnections));
        pool.keepFairShareOpen();
    }
}

/// Returns the pool that should open a connection for a waiting statement of \a caller; null if none may, or if one is being opened.
///
/// \a claimed counts, for each member, the customer's connections being opened that other waiting statements will use.
MemberPool *Engine::poolToOpenAt(const Caller &caller, Group &group, std::map<MemberName, std::uint32_t> &claimed, TimePoint now)
{
    const auto &customer = caller.session.identity().customer;
    const auto required = requiredPosition(caller, group, now);
    const bool needsThePrimary = needsPrimary(caller) || !required;
    MemberPool *best = nullptr;
    Microseconds lowestCost{0};
    for (auto &[name, pool] : group.pools) {
        const bool primary = name == group.primary.member;
        const bool alreadyFailed = std::find(caller.failedMembers.begin(), caller.failedMembers.end(), name) != caller.failedMembers.end();
        if ((needsThePrimary && !primary) || (!needsThePrimary && alreadyFailed)) {
            continue;
        }
        if (primary ? !primaryUsable(group, now) : pool.entry().draining) {
            continue;
        }
        if (!primary && now < pool.laggingUntil && pool.position < *required) {
            continue;
        }
        const auto opening = pool.countOf(customer, PooledConnectionState::Opening);
        if (claimed[name] < opening) {
            ++claimed[name];
            return nullptr;
        }
        if (pool.count(PooledConnectionState::Opening) >= limits_.maxOpeningPerMember || !pool.mayOpenFor(customer, now)) {
            continue;
        }
        auto cost = pool.replyTime().mean() * (1 + static_cast<std::int64_t>(pool.count(PooledConnectionState::InUse))) / 2;
        cost += primary ? limits_.primaryPenalty : Microseconds{0};
        cost += pool.entry().failureDomain == ownDomain_ ? Microseconds{0} : limits_.remotePenalty;
        if (best == nullptr || cost < lowestCost) {
            best = &pool;
            lowestCost = cost;
        }
    }
    return best;
}

/// Returns true if a connection that became free should be closed for a waiting statement of a customer that has none at the member.
///
/// Without this, a customer that always has statements waiting would keep all connections, and the others' statements would wait until
/// they are refused.
bool Engine::yieldsToAnotherCustomer(const PooledConnection &connection, Group &group, const MemberPool &pool, TimePoint now)
{
    // A customer keeps its last connection for a while, since replacing it costs the member 12 ms of a slot.
    constexpr Milliseconds lastConnectionKeptFor{100};
    if (!pool.isFull(now) || pool.count(PooledConnectionState::Opening) > 0) {
        return false;
    }
    const bool isLast = pool.countOf(connection.customer) < 2;
    const auto &member = pool.entry().name;
    const bool primary = member == group.primary.member;
    const auto waiting = group.waiting.callers();
    return std::any_of(waiting.begin(), waiting.end(), [&](CallerKey key) {
        const auto &caller = callers_.at(key);
        const auto &customer = caller.session.identity().customer;
        const bool waitsLongEnough = !isLast || now - caller.arrived >= lastConnectionKeptFor;
        if (customer == connection.customer || pool.serves(customer) || !waitsLongEnough) {
            return false;
        }
        if (needsPrimary(caller) || !requiredPosition(caller, group, now)) {
            return primary;
        }
        if (std::find(caller.failedMembers.begin(), caller.failedMembers.end(), member) != caller.failedMembers.end()) {
            return false;
        }
        return std::none_of(
            group.pools.begin(), group.pools.end(), [&customer](const auto &other) { return other.second.serves(customer); });
    });
}

/// Opens one connection of its customer for each waiting statement, at one member that can serve it, as far as the limits allow.
///
/// Opening costs the member 12 ms of a slot, so no connection is opened without a waiting statement, nor at several members for one.
/// Customers without a connection come first: the others' statements can also be served when a connection in use becomes free.
void Engine::openCustomerConnections(Group &group, TimePoint now)
{
    const auto mayOpenAt = [this, now](auto &entry) {
        auto &pool = entry.second;
        const bool mayReplace = pool.mayReplace(now) && pool.anyIdle() != nullptr;
        return pool.count(PooledConnectionState::Opening) < limits_.maxOpeningPerMember && (pool.mayOpen(now) || mayReplace);
    };
    if (group.waiting.empty() || std::none_of(group.pools.begin(), group.pools.end(), mayOpenAt)) {
        return;
    }
    std::map<CustomerName, std::map<MemberName, std::uint32_t>> claimed;
    std::vector<CallerKey> unconnected;
    std::vector<CallerKey> connected;
    for (const auto key : group.waiting.order(waitingTerms(group, now), now)) {
        const auto &customer = callers_.at(key).session.identity().customer;
        const bool isConnected =
            std::any_of(group.pools.begin(), group.pools.end(), [&customer](const auto &pool) { return pool.second.serves(customer); });
        (isConnected ? connected : unconnected).push_back(key);
    }
    unconnected.insert(unconnected.end(), connected.begin(), connected.end());
    for (const auto key : unconnected) {
        const auto &caller = callers_.at(key);
        const auto &customer = caller.session.identity().customer;
        auto *pool = poolToOpenAt(caller, group, claimed[customer], now);
        if (pool == nullptr) {
            continue;
        }
        if (!pool->mayOpen(now)) {
            dropConnection(pool->idleOfAnother(customer, now), group, *pool);
        }
        openConnection(group, *pool, customer, now);
        ++claimed[customer][pool->entry().name];
    }
}

} // namespace cardamomstep::relay
