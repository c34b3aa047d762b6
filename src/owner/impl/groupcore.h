// The shared state of one owned group: its decision machines, its workers and the threads that wait.
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
/// Every member below `mutex` is guarded by it. Functions that say "locked" are called with it held. Machines are only fed
/// here, so their inputs are ordered.
class GroupCore : public std::enable_shared_from_this<GroupCore>
{
public:
    /// One member of the group.
    struct Member {
        Member(const GroupMember &member, const LinkIdentity &identity)
            : address(member.address)
            , links(member.address, identity)
            , watcher(member.address, identity)
            , orders(member.address, identity)
        {
        }

        Address address;
        MemberLinks links;
        /// Carries the waiting reports.
        ControlWorker watcher;
        /// Carries orders, checks and outcome questions.
        ControlWorker orders;
    };

    GroupCore(GroupOwnerOptions options, GroupEvents events);

    /// Begins to watch the group.
    void start();

    /// Stops the workers; requests in flight finish first.
    void stop();

    // Inputs, locked

    /// Gives the monitor an input, records it when asked to, and carries out what the monitor asks for.
    void feed(const trace::GroupInput &input);

    /// Feeds a member's state from any reply to the trackers and wakes who waited for it.
    void onState(const MemberName &member, const Mark &log, const Term &adopted, TimePoint sentAt);

    /// Begins due read checks and hands out their results.
    void pumpRounds();

    /// Acts on what the admission queue decided.
    void apply(const std::vector<AdmissionAction> &actions);

    /// Takes in the members that are to get no new work.
    void setLeaving(const std::vector<MemberName> &leaving);

    /// True when \a member is to get no new work, by others' word than its own.
    [[nodiscard]] bool isToldLeaving(const MemberName &member) const;

    /// Has a primary that was told to leave replaced; to be called once no transaction of the group is open.
    void moveLeavingPrimary();

    /// Takes in the current owners of the group.
    void setHolders(const std::vector<InstanceName> &holders);

    // Requests, locked

    /// Takes a slot, waiting for it; the error refuses the request as not run.
    [[nodiscard]] Result<std::uint64_t>
    admit(std::unique_lock<std::mutex> &lock, Lane lane, const ServiceName &service, TimePoint deadline);

    /// Gives a slot back.
    void finished(std::uint64_t ticket);

    /// Waits until writes are not held; false when \a deadline came first.
    [[nodiscard]] bool waitReleased(std::unique_lock<std::mutex> &lock, TimePoint deadline);

    /// Waits for the result of a read check that begins now; nothing when none came by \a deadline.
    [[nodiscard]] std::optional<RoundResult> confirmPrimary(std::unique_lock<std::mutex> &lock, TimePoint deadline);

    /// The primary as writes see it; term 0 when there is none.
    [[nodiscard]] LeaderView leader() const;

    [[nodiscard]] Member *find(const MemberName &name);

    /// A new exchange id.
    [[nodiscard]] std::string nextExchange();

    GroupOwnerOptions options;
    GroupEvents events;

private:
    TimePoint startedAt_;

public:
    std::mutex mutex;
    GroupMonitor monitor;
    AckTracker acks;
    LegitimacyRounds rounds;
    ReadRouter router;
    AdmissionQueue admission;
    RetryBudget retries;
    ConnectionShare share;
    Random random;
    std::map<MemberName, std::unique_ptr<Member>> members;

    /// Writes are held until this time.
    TimePoint heldUntil;
    /// Threads that wait for coverage, for another primary, for a report or for the release of writes.
    WaitList coverageWaiters;
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
    void takeReport(const MemberReport &report, TimePoint sentAt);
    [[nodiscard]] MemberReport withLeaving(MemberReport report) const;
    void tellRouter(const MemberReport &report);
    void sendReport(const SendReport &action);
    void sendOrder(const MemberName &member, OrderKind kind, const Term &term, const SendFollow *follow, Milliseconds timeout);
    void sendChecks(RoundNumber round);
    void onPrimaryChanged(const PrimaryChanged &change);
    void refreshSlots();
    void runTicker();
    [[nodiscard]] TimePoint nextWake() const;

    /// The leaving primary that the monitor was asked to move; empty when it was asked for none.
    MemberName switchoverAsked_;
    std::ofstream trace_;
    /// Members that are to stop, by others' word than their own.
    std::vector<MemberName> leaving_;
    std::map<std::uint64_t, Ticket> tickets_;
    std::uint64_t nextTicket_ = 1;
    std::uint64_t nextExchange_ = 1;
    /// Begin of the rounds that are in flight or whose reads still wait.
    std::map<RoundNumber, TimePoint> roundBegan_;
    std::map<RoundNumber, RoundResult> roundResults_;

    std::condition_variable tickerCondition_;
    bool tickerDue_ = false;
    bool stopping_ = false;
    std::thread ticker_;
};

} // namespace cardamomstep::impl
