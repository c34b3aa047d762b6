// The shared state of one owned group: its state machines, its workers and its waiting threads.
#pragma once

#include "base/random.h"
#include "connections/quota.h"
#include "groups/monitor.h"
#include "groups/quorumstate.h"
#include "groups/readindexrounds.h"
#include "owner/controlworker.h"
#include "owner/memberconnections.h"
#include "owner/options.h"
#include "owner/waiter.h"
#include "requests/admission.h"
#include "requests/attempt.h"
#include "requests/retrybudget.h"
#include "sessions/readrouter.h"
#include "trace/groupinput.h"
#include "trace/grouplines.h"

#include <condition_variable>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace cardamomstep::impl {

/// State of one owned group.
///
/// `mutex` guards every member below it. Functions below a heading that says "locked" must be called with it held. The monitor is
/// only fed by feed(), so its inputs are ordered.
class GroupCore : public std::enable_shared_from_this<GroupCore>
{
public:
    /// One member of the group.
    struct Member {
        Member(const GroupMember &member, const ConnectionIdentity &identity)
            : address(member.address)
            , connections(member.address, identity)
            , reportWorker(member.address, identity)
            , orderWorker(member.address, identity)
        {
        }

        Address address;
        MemberConnections connections;
        /// Requests reports that wait for a change at the member.
        ControlWorker reportWorker;
        /// Sends orders and the report requests of read index rounds.
        ControlWorker orderWorker;
    };

    GroupCore(GroupOwnerOptions options, GroupOwnerHandlers handlers);

    /// Starts to monitor the group.
    void start();

    /// Stops the ticker and the workers, whose running jobs finish first. No request may be in progress.
    void stop();

    // Inputs, locked

    /// Passes an input to the monitor, records the step if a trace file is set, and performs the monitor's actions.
    void feed(const trace::GroupInput &input);

    /// Applies a member's state from any reply to the trackers and wakes the threads that wait for it.
    void onState(const MemberName &member, const LogPosition &log, const Term &adopted, TimePoint sentAt);

    /// Publishes the results of finished read index rounds and starts the next round if it is due.
    void startDueRounds();

    /// Performs the decisions of the admission queue.
    void apply(const std::vector<AdmissionAction> &actions);

    /// Sets the members that get no new work.
    void setLeaving(const std::vector<MemberName> &leaving);

    /// Returns true if setLeaving() named \a member, whatever its own report says.
    [[nodiscard]] bool isMarkedLeaving(const MemberName &member) const;

    /// Requests a switchover if the primary is marked leaving; call it once no transaction of the group is open.
    void replaceLeavingPrimary();

    /// Sets the current owners of the group.
    void setOwners(const std::vector<InstanceName> &owners);

    // Requests, locked

    /// Waits for a slot and returns its ticket; an error means that the request did not run.
    [[nodiscard]] Result<std::uint64_t>
    admit(std::unique_lock<std::mutex> &lock, Lane lane, const ServiceName &service, TimePoint deadline);

    /// Releases the slot of \a ticket.
    void releaseSlot(std::uint64_t ticket);

    /// Waits until writes are no longer paused; returns false if \a deadline passes first.
    [[nodiscard]] bool waitForWrites(std::unique_lock<std::mutex> &lock, TimePoint deadline);

    /// Joins the next read index round and returns its result; nothing if there is none by \a deadline.
    [[nodiscard]] std::optional<RoundResult> confirmPrimary(std::unique_lock<std::mutex> &lock, TimePoint deadline);

    /// Returns the primary as an input for WriteAttempt; term 0 when there is none.
    [[nodiscard]] LeaderInfo leader() const;

    [[nodiscard]] Member *find(const MemberName &name);

    /// Returns a new exchange id.
    [[nodiscard]] std::string nextExchange();

    GroupOwnerOptions options;
    GroupOwnerHandlers handlers;

private:
    TimePoint startedAt_;

public:
    std::mutex mutex;
    GroupMonitor monitor;
    AckTracker acks;
    ReadIndexRounds rounds;
    ReadRouter router;
    AdmissionQueue admission;
    RetryBudget retries;
    ConnectionQuota quota;
    Random random;
    std::map<MemberName, std::unique_ptr<Member>> members;

    /// Writes are paused until this time.
    TimePoint writesPausedUntil;
    /// Threads that wait, in the order of the lists: for a quorum; for another primary or the end of a write pause; for a report; for
    /// the result of a round.
    WaitList quorumWaiters;
    WaitList primaryWaiters;
    WaitList reportWaiters;
    WaitList roundWaiters;

private:
    struct Ticket {
        Waiter *waiter = nullptr;
        bool admitted = false;
        std::optional<Error> refusal;
    };

    void perform(const GroupActions &actions);
    void beginTrace();
    void endTrace();
    void onMemberReport(const MemberReport &report, TimePoint sentAt);
    [[nodiscard]] MemberReport withLeaving(MemberReport report) const;
    void updateRouter(const MemberReport &report);
    void sendReport(const SendReport &action);
    void sendOrder(const MemberName &member, OrderKind kind, const Term &term, const SendFollow *follow, Milliseconds timeout);
    void requestRoundReports(RoundNumber round);
    void onPrimaryChanged(const PrimaryChanged &change);
    void refreshSlots();
    void runTicker();
    [[nodiscard]] TimePoint nextWake() const;

    /// The leaving primary for which a switchover was requested; empty when none was.
    MemberName switchoverRequested_;
    std::ofstream trace_;
    /// The members that setLeaving() named.
    std::vector<MemberName> leaving_;
    std::map<std::uint64_t, Ticket> tickets_;
    std::uint64_t nextTicket_ = 1;
    std::uint64_t nextExchange_ = 1;
    /// The start times of the rounds in flight.
    std::map<RoundNumber, TimePoint> roundStartedAt_;
    /// The latest results, kept for threads that have yet to read them.
    std::map<RoundNumber, RoundResult> roundResults_;

    std::condition_variable tickerCondition_;
    /// True when the ticker must run now, because its next due time may have changed.
    bool tickerDue_ = false;
    bool stopping_ = false;
    std::thread ticker_;
};

} // namespace cardamomstep::impl
