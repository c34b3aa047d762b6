// Forwards callers' statements to members: queueing, admission and choice of the member.
//
// Does no I/O and reads no clock: time is passed in, and actions are collected. The I/O layer performs them and reports the results.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "customers/customerdirectory.h"
#include "customers/customerlimits.h"
#include "relay/action.h"
#include "relay/cachedprimary.h"
#include "relay/callersession.h"
#include "relay/directory.h"
#include "relay/enginelimits.h"
#include "relay/enginestats.h"
#include "relay/membercapacity.h"
#include "relay/memberpool.h"
#include "relay/retrydecision.h"
#include "relay/routeexplanation.h"
#include "relay/routingtable.h"
#include "relay/waitingqueue.h"
#include "requests/retrybudget.h"
#include "sessions/freshness.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamomstep::relay {

/// The data path of one process.
class Engine
{
public:
    Engine(FailureDomain ownDomain, std::uint64_t seed, const EngineLimits &limits = {});

    // State of the fleet.

    /// Applies \a configuration and returns true; ignored unless it is newer than the active one.
    bool configure(const Configuration &configuration, TimePoint now);
    /// Applies the directory to all groups known so far; a member that is no longer listed counts as draining until its connections are
    /// closed. A primary whose entry expired announced nothing, so it is used until a successor leads.
    void setMembers(const MemberDirectory &directory, TimePoint now);
    /// Sets the group's cached primary; statements that wait for it are sent as soon as it is usable.
    void setPrimary(const GroupName &group, const CachedPrimary &primary, TimePoint now);
    /// Returns the number of statements in flight at the group's primary that may have durable effects, and of open transactions there
    /// that wrote.
    [[nodiscard]] std::size_t durableInFlight(const GroupName &group) const;
    /// Fences the group's primary: success of writes in flight there is not reported to callers, and open transactions there end, except
    /// idle read-only ones.
    void fence(const GroupName &group, TimePoint now);
    /// Sets which part of all customers' rates falls to the customers that this process serves, from 0 to 1; the guaranteed connections
    /// to each member follow from it. Until the first call, the part is that of one proxy with a pool.
    void setConnectionShare(double fractionOfAllRates);
    /// Sets how many proxies have a pool for \a group's members, this one included; 0 if this one has none.
    void setPoolCount(const GroupName &group, std::uint32_t poolCount);

    /// The customers' limits at this proxy, for their shares and loans.
    [[nodiscard]] customers::CustomerLimits &customerLimits() noexcept
    {
        return customerLimits_;
    }
    [[nodiscard]] const customers::CustomerLimits &customerLimits() const noexcept
    {
        return customerLimits_;
    }

    // Callers.

    /// Returns on whose behalf a caller with \a key uses \a database; the error is ErrorKind::Unauthorized or ErrorKind::NotReady.
    [[nodiscard]] Result<customers::CallerIdentity> identify(const DatabaseName &database, std::string_view key);
    /// Returns why a session that runs on behalf of \a identity must end: ErrorKind::Unauthorized if its key is unknown by now,
    /// ErrorKind::TransactionAborted if another customer holds it; nothing if it may go on.
    [[nodiscard]] std::optional<Error> identityFault(const DatabaseName &database, const customers::CallerIdentity &identity) const;
    /// Opens a session; on ErrorKind::UnknownService, ErrorKind::Unauthorized and ErrorKind::NotReady no session is created.
    [[nodiscard]] Result<Success>
    callerOpened(CallerKey caller, const DatabaseName &database, const customers::CallerIdentity &identity, TimePoint now);
    /// Resumes a session that another proxy served until now; errors as of callerOpened() and identityFault().
    [[nodiscard]] Result<Success> callerAdopted(CallerKey caller, const CallerSession &session, TimePoint now);
    /// Handles a statement, which ends in exactly one ReplyToCaller unless the session is closed before; the next statement must wait for
    /// that.
    void callerStatement(CallerKey caller, const SessionStatement &statement, TimePoint now);
    /// Ends the session; its open transaction is rolled back.
    void callerClosed(CallerKey caller, TimePoint now);

    // Member connections.

    /// Handles an accepted connection; \a position is the member's log position as of its handshake.
    void connectionOpened(MemberConnectionKey connection, const std::optional<LogPosition> &position, TimePoint now);
    void connectionReplied(MemberConnectionKey connection, const MemberReply &reply, TimePoint now);
    /// Handles a connection that broke or could not be opened; \a refusal is set if the member refused it.
    void connectionClosed(MemberConnectionKey connection, std::optional<MemberFault> refusal, TimePoint now);

    /// Begins a graceful shutdown: sessions are closed when they become idle, idle transactions end at \a transactionsUntil.
    void drain(TimePoint transactionsUntil, TimePoint now);
    [[nodiscard]] bool draining() const noexcept
    {
        return drainUntil_.has_value();
    }

    /// Runs the timers and the maintenance that are due; call it at nextWake().
    void wake(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

    /// Returns the actions since the last call, in order.
    [[nodiscard]] Actions takeActions();

    // For status and for the evaluation of members.

    [[nodiscard]] const RoutingTable &routes() const noexcept
    {
        return routes_;
    }
    [[nodiscard]] std::size_t callers() const noexcept
    {
        return callers_.size();
    }
    [[nodiscard]] std::vector<GroupStats> groupStats() const;
    /// Returns how a statement that arrived now would be routed; sends nothing and changes nothing.
    [[nodiscard]] RouteExplanation explainRoute(const RouteQuery &query, TimePoint now) const;
    /// Returns the learned capacity of all members; empty unless it is learned.
    [[nodiscard]] std::vector<MemberCapacityStats> memberCapacities(TimePoint now) const;

    /// Returns what was observed of members since the last call, for other proxies.
    [[nodiscard]] std::vector<std::pair<GroupName, std::vector<MemberReport>>> takeMemberReports();
    /// Adds the observations of another proxy; \a sameDomain tells whether it is in this one's failure domain.
    void mergeMemberReports(const GroupName &group, std::span<const MemberReport> reports, bool sameDomain, TimePoint now);
    /// Returns when \a member last replied to anything; the clock's origin if it never did.
    [[nodiscard]] TimePoint lastReplyAt(const GroupName &group, const MemberName &member) const;
    /// Returns the highest log position that was acknowledged to any caller in \a group.
    [[nodiscard]] LogPosition acknowledged(const GroupName &group) const;
    /// Returns when the first write was sent to the group's primary after its last successful one; nothing if there is none.
    [[nodiscard]] std::optional<TimePoint> writesStalledSince(const GroupName &group) const;

private:
    enum class Activity : std::uint8_t {
        Idle,
        Waiting, ///< For a connection.
        Beginning, ///< The transaction is being opened at the member; the statement follows.
        SettingUp, ///< Its values or its prepared statement are being applied to the connection; the statement follows.
        Running, ///< The statement was sent to a member, which has not replied yet.
    };

    struct Caller {
        explicit Caller(CallerSession initial)
            : session(std::move(initial))
        {
        }

        CallerSession session;
        Activity activity = Activity::Idle;
        SessionStatement statement;
        /// Id of the statement that began the transaction; empty outside a transaction.
        std::string transactionId;
        /// Id of the first session setup statement before this one; empty if there was none.
        std::string setupStatementId;
        /// The last statement outside a transaction was not session setup, so the next one begins another operation.
        bool setupComplete = false;

        /// Returns true if session setup is to be followed by a statement that has not arrived yet.
        [[nodiscard]] bool awaitsStatementAfterSetup() const noexcept
        {
            return !setupStatementId.empty() && !setupComplete;
        }

        /// The route of the statement, or of the first statement of its transaction.
        Route route;
        TimePoint arrived;
        /// Arrival of the statement, or of the first one of its transaction; reads need no data newer than this.
        TimePoint freshFrom;
        /// The statement's deadline.
        TimePoint deadline;
        std::uint32_t attempts = 0;
        /// Members at which this statement failed.
        std::vector<MemberName> failedMembers;
        /// The connection in use; 0 for none.
        MemberConnectionKey connection = 0;
        GroupName group;
        /// The log position that the statement needs at a replica, while SettingUp.
        std::optional<LogPosition> required;
        TimePoint sentAt;
        /// Other statements in flight at the member when this one was sent.
        std::uint32_t othersInFlight = 0;
        /// The statement was sent to the primary.
        bool sentToPrimary = false;
        /// Its primary was fenced: success of a durable statement is not reported, and its transaction ends.
        bool fenced = false;
        /// Set if its key was withdrawn: the error for a statement that did not run. The session ends once it is idle.
        std::optional<Error> ending;
        /// When its timer expires; see timers_.
        std::optional<TimePoint> timerAt;
    };

    struct Group {
        GroupConfig config;
        /// Number of proxies with a pool for the members; 0 while unknown, or if this process has none.
        std::uint32_t poolCount = 0;
        CachedPrimary primary;
        FreshnessHistory history;
        std::map<MemberName, MemberPool> pools;
        /// What was learned of the members' speed and failures; unused unless EngineLimits::learnMemberCapacity is set.
        MemberCapacity capacity;
        /// Callers that wait for a connection.
        WaitingQueue waiting;
        /// How long statements and transactions use a connection, at the primary and at replicas.
        SmoothedTime primarySlotTime;
        SmoothedTime replicaSlotTime;
        /// The highest log position of any commit that was acknowledged to a caller.
        LogPosition acknowledged;
        /// Generation of the primary whose drain time was logged as over; 0 for none.
        std::uint64_t drainOverLogged = 0;
        /// When the primary's position was last probed.
        TimePoint probedAt;
        /// When a read last needed a recent log position of the primary; without such reads, the primary is not probed.
        TimePoint positionNeededAt;
        /// When the first write was sent to the primary after its last successful one; nothing if there is none.
        std::optional<TimePoint> writeStallStartedAt;
    };

    /// Returns the group's state; creates it on first use, since records may arrive before the configuration.
    [[nodiscard]] Group &groupState(const GroupName &name);

    // Callers (enginecallers.cpp)
    void admit(CallerKey key, Caller &caller, TimePoint now);
    void answer(CallerKey key, Caller &caller, CallerReply reply, TimePoint now);
    void answerError(CallerKey key, Caller &caller, Error error, TimePoint now);
    static void recordOperationIds(Caller &caller);
    [[nodiscard]] bool refusedWhileDraining(const Caller &caller, TimePoint now) const;
    void endWhenIdle(CallerKey key, Caller &caller, TimePoint now);
    void onIdleTimer(CallerKey key, Caller &caller, TimePoint now);
    void onCallerTimer(CallerKey key, Caller &caller, TimePoint now);
    [[nodiscard]] bool shouldHedge(Caller &caller, TimePoint now);
    void endTransaction(Caller &caller, TimePoint now);
    void setTimer(CallerKey key, Caller &caller, std::optional<TimePoint> at);
    [[nodiscard]] bool needsPrimary(const Caller &caller) const;
    /// Returns true if the statement waits for a primary rather than for a connection.
    [[nodiscard]] bool lacksPrimary(const Caller &caller, const Group &group, TimePoint now) const;
    void logOutcome(const Caller &caller, std::string_view outcome, TimePoint now);
    void logLimitEvents();

    // Waiting statements (enginewaiting.cpp)
    void enqueue(CallerKey key, Caller &caller, Group &group, TimePoint now);
    void dequeue(CallerKey key, Caller &caller);
    void refuseWaiting(CallerKey key, std::string_view reason, TimePoint now);
    void dispatchWaiting(Group &group, TimePoint now);
    /// Refuses the waiting statements whose turn is expected after their deadline.
    void refuseLateWaiting(Group &group, TimePoint now);
    [[nodiscard]] WaitingTerms waitingTerms(const Group &group, TimePoint now) const;
    static void recordSlotTime(const PooledConnection &connection, Group &group, TimePoint now);
    [[nodiscard]] Milliseconds minRetryAfterOf(const Group &group, TimePoint now) const;
    [[nodiscard]] Milliseconds retryAfterOf(const Group &group, TimePoint now);

    // Dispatch (enginedispatch.cpp)
    [[nodiscard]] bool tryServe(CallerKey key, Caller &caller, Group &group, TimePoint now);
    [[nodiscard]] std::optional<LogPosition> requiredPosition(const Caller &caller, Group &group, TimePoint now) const;
    [[nodiscard]] bool drainTimeOver(const MemberPool &pool, TimePoint now) const noexcept;
    [[nodiscard]] bool primaryUsable(const Group &group, TimePoint now) const;
    [[nodiscard]] bool keepsConnections(const Group &group, const MemberPool &pool, TimePoint now) const;
    [[nodiscard]] MemberPool *primaryPool(Group &group, TimePoint now);
    [[nodiscard]] MemberPool *chooseReader(const Caller &caller, Group &group, const std::optional<LogPosition> &required, TimePoint now);
    /// Returns why \a pool's member does not get the caller's read; nothing if it may.
    [[nodiscard]] std::optional<ReaderExclusion> readerExclusion(
        const Caller &caller, const Group &group, const MemberPool &pool, const std::optional<LogPosition> &required, TimePoint now) const;
    /// Returns the expected cost of a read at \a pool's member.
    [[nodiscard]] Microseconds readerCost(const Group &group, const MemberPool &pool) const;
    [[nodiscard]] static std::optional<LogPosition> positionFor(const Caller &caller, const Group &group);
    // Learned capacity (enginecapacity.cpp)
    [[nodiscard]] MemberPool *
    chooseByCapacity(const Caller &caller, Group &group, const std::vector<MemberPool *> &candidates, TimePoint now);
    void learnReply(const Caller &caller, Group &group, const MemberName &member, std::optional<MemberFault> fault, TimePoint now);
    void learnLostReply(const Caller &caller, Group &group, const MemberName &member, bool broken, TimePoint now);

    void openConnections(Group &group, TimePoint now);
    void openConnection(Group &group, MemberPool &pool, const CustomerName &customer, TimePoint now);
    void assignConnection(
        CallerKey key, Caller &caller, PooledConnection &connection, const std::optional<LogPosition> &required, TimePoint now);
    void sendStatement(Caller &caller, PooledConnection &connection, const std::optional<LogPosition> &required, TimePoint now);
    [[nodiscard]] TimePoint replyDue(const Caller &caller, const MemberPool &pool, RetryClass retryClass, TimePoint now) const;
    [[nodiscard]] std::vector<MemberRequest> setupRequests(const Caller &caller, PooledConnection &connection, TimePoint now);
    void expectReply(PooledConnection &connection, ReplyPurpose purpose, TimePoint now, Milliseconds timeout);
    void probe(Group &group, TimePoint now);
    void updatePoolLimits(Group &group);

    // Sessions and their customers (enginecustomers.cpp); callerOpened() and callerAdopted() are there, too
    [[nodiscard]] Result<customers::CallerIdentity> resolveKey(const DatabaseName &database,
                                                               const std::optional<customers::KeyDigest> &key) const;
    [[nodiscard]] bool isPublic(const DatabaseName &database) const;
    void endSessionsOfChangedKeys(TimePoint now);
    void endSession(CallerKey key, Caller &caller, TimePoint now);
    void endIdleSession(CallerKey key, Caller &caller, TimePoint now);
    /// Returns the error for a statement of an open transaction whose session's key was withdrawn.
    [[nodiscard]] static Error withdrawnInTransaction();
    void refuseEndedSession(CallerKey key, Caller &caller, Error error, TimePoint now);
    void updateCustomerPoolLimits(Group &group, std::uint32_t plannedConnections);
    [[nodiscard]] MemberPool *poolToOpenAt(const Caller &caller, Group &group, std::map<MemberName, std::uint32_t> &claimed, TimePoint now);
    [[nodiscard]] bool yieldsToAnotherCustomer(const PooledConnection &connection, Group &group, const MemberPool &pool, TimePoint now);
    void openCustomerConnections(Group &group, TimePoint now);

    // Connections (engineconnections.cpp)
    [[nodiscard]] PooledConnection *findConnection(MemberConnectionKey key, Group **group, MemberPool **pool);
    void statementReplied(PooledConnection &connection, Group &group, MemberPool &pool, const MemberReply &reply, TimePoint now);
    void setupReplied(PooledConnection &connection, Group &group, TimePoint now);
    [[nodiscard]] bool mayStillSend(const Caller &caller, const PooledConnection &connection, const Group &group, TimePoint now) const;
    void beginReplied(PooledConnection &connection, Group &group, MemberPool &pool, const MemberReply &reply, TimePoint now);
    void exchangeFailed(CallerKey key, Caller &caller, ExchangeEnd end, std::optional<MemberFault> fault, TimePoint now);
    void release(PooledConnection &connection, Group &group, TimePoint now);
    void rollBack(PooledConnection &connection, TimePoint now);
    void dropConnection(MemberConnectionKey key, Group &group, MemberPool &pool);
    void recordPosition(Group &group,
                        MemberPool &pool,
                        const PooledConnection &connection,
                        const AwaitedReply &awaited,
                        const MemberReply &reply,
                        TimePoint now);
    void maintainConnections(Group &group, TimePoint now);
    void logDrainTimeOver(Group &group, TimePoint now);

    FailureDomain ownDomain_;
    EngineLimits limits_;
    Random random_;
    RoutingTable routes_;
    customers::CustomerDirectory customers_;
    /// See setConnectionShare(); nothing before the first call.
    std::optional<double> connectionShare_;
    RetryBudget retryBudget_;
    customers::CustomerLimits customerLimits_;
    std::unordered_map<CallerKey, Caller> callers_;
    std::map<GroupName, Group> groups_;
    /// The group and the member of each connection; the connections themselves are in the pools of groups_.
    std::unordered_map<MemberConnectionKey, std::pair<GroupName, MemberName>> connections_;
    MemberConnectionKey nextConnection_ = 1;
    /// Invariant: contains each caller's timerAt, if set, exactly once.
    std::set<std::pair<TimePoint, CallerKey>> timers_;
    TimePoint nextMaintenance_;
    std::optional<TimePoint> drainUntil_;
    Actions actions_;
};

} // namespace cardamomstep::relay
