// Monitors one database group, determines its primary and replaces it when it fails; see docs/design/failover.md.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/random.h"
#include "base/time.h"
#include "groups/action.h"
#include "groups/impl/membertracker.h"
#include "groups/impl/peerobservations.h"
#include "groups/impl/promotion.h"
#include "groups/member.h"
#include "groups/peerobservation.h"
#include "groups/policy.h"
#include "groups/switchover.h"
#include "members/member.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstep {

/// The state machine by which one owner decides about one group.
///
/// Up to three owners run it for the same group and need not agree on anything: safety depends only on the members'
/// terms. Every input returns the resulting actions, in order. Inputs must not be concurrent, and their
/// `now` must not decrease.
///
/// Example of an I/O layer's loop:
/// \code
/// perform(monitor.tick(now));
/// sleepUntil(monitor.nextWake());
/// \endcode
class GroupMonitor
{
public:
    /// Monitors \a members as the owner of rank \a rank; rank 0 acts first.
    ///
    /// \a seed must differ between processes and between starts, because the proposer ids of terms are drawn from it.
    GroupMonitor(std::vector<GroupMember> members, unsigned rank, const GroupPolicy &policy, std::uint64_t seed, TimePoint now);

    /// Handles the passage of time; must be the first input.
    [[nodiscard]] GroupActions tick(TimePoint now);

    /// Handles the reply of \a member to a SendReport that was sent at \a sentAt.
    [[nodiscard]] GroupActions onReport(const MemberName &member, const MemberReport &report, TimePoint sentAt, TimePoint now);

    /// Handles the failure of a SendReport to \a member.
    [[nodiscard]] GroupActions onConnectionFailure(const MemberName &member, const ConnectionFailure &failure, TimePoint now);

    /// Handles the reply of \a member to the order \a kind of \a term that was sent at \a sentAt.
    [[nodiscard]] GroupActions
    onOrderReply(const MemberName &member, OrderKind kind, const Term &term, const TermReply &reply, TimePoint sentAt, TimePoint now);

    /// Handles the failure of the order \a kind of \a term to \a member; the order may still have taken effect.
    [[nodiscard]] GroupActions
    onOrderFailure(const MemberName &member, OrderKind kind, const Term &term, const ConnectionFailure &failure, TimePoint now);

    /// Records another owner's observation.
    [[nodiscard]] GroupActions onPeerObservation(const InstanceName &peer, const PeerObservation &observation, TimePoint now);

    /// Records that \a member replied to a statement, which counts as contact. Replies that refuse the statement count too.
    [[nodiscard]] GroupActions onStatementEvidence(const MemberName &member, TimePoint now);

    /// Sets this owner's rank.
    [[nodiscard]] GroupActions setRank(unsigned rank, TimePoint now);

    /// Sets the group's configured members and abandons an attempt in progress.
    ///
    /// Majorities of the old and the new list must intersect: change one member at a time.
    [[nodiscard]] GroupActions setMembers(std::vector<GroupMember> members, TimePoint now);

    /// Sets the policy, for example after a change of its heartbeat interval (see pacing.h).
    [[nodiscard]] GroupActions setPolicy(const GroupPolicy &policy, TimePoint now);

    /// Requests a switchover away from \a leaving if it is primary. Repeated calls have no effect; an empty name withdraws the request.
    [[nodiscard]] GroupActions requestSwitchover(const MemberName &leaving, TimePoint now);

    /// Records that another owner pauses writes for a switchover until \a until: this owner starts none in the meantime.
    [[nodiscard]] GroupActions onPeerWritePause(TimePoint until, TimePoint now);

    /// Latest time for the next call of tick().
    [[nodiscard]] TimePoint nextWake() const noexcept;

    /// The primary at the highest known term; none while no member is known to be primary.
    [[nodiscard]] std::optional<PrimaryInfo> primary() const;

    /// Returns the observation to publish to the other owners.
    [[nodiscard]] PeerObservation observation(TimePoint now) const;

    /// The last report of \a member; none when it has not reported.
    [[nodiscard]] std::optional<MemberReport> lastReport(const MemberName &member) const;

    /// Time since the last contact with \a member; none when there was none or the member is unknown.
    [[nodiscard]] std::optional<Microseconds> contactAge(const MemberName &member, TimePoint now) const;

    /// True while a promotion attempt of this owner is in progress.
    [[nodiscard]] bool promoting() const noexcept;

    /// The configured members.
    [[nodiscard]] const std::vector<GroupMember> &members() const noexcept;

private:
    struct PromotionTrigger {
        PromotionReason reason = PromotionReason::NoPrimary;
        TimePoint since;
        /// The primary that is suspected, and its term; empty when there was none.
        MemberName suspect;
        Term suspectTerm;
    };

    // Inputs, in monitor.cpp
    void beginInput(TimePoint now);
    [[nodiscard]] GroupActions finishInput(TimePoint now);
    void discountLocalPause(TimePoint now);
    void applyReport(MemberTracker &tracker, const MemberReport &report, TimePoint sentAt, TimePoint now);
    void observeTerm(const Term &term, TimePoint now);
    void recordEvent(AuditEventKind kind, const MemberName &member, const Term &term, PromotionReason reason = PromotionReason::Observed);
    [[nodiscard]] MemberTracker *find(const MemberName &member) noexcept;
    [[nodiscard]] const MemberTracker *find(const MemberName &member) const noexcept;
    [[nodiscard]] std::size_t majority() const noexcept;
    /// True for the primary and, while no primary is known, for every member.
    [[nodiscard]] bool mayBePrimary(const MemberName &member) const noexcept;
    [[nodiscard]] bool silent(const MemberTracker &tracker, TimePoint now) const noexcept;
    [[nodiscard]] bool reachable(const MemberTracker &tracker, TimePoint now) const noexcept;

    // Which member is primary, in monitorprimary.cpp
    void refreshPrimary(TimePoint now);
    void setPrimary(const MemberTracker &tracker, TimePoint now);
    void clearPrimary();
    void confirmPrimary();
    void refreshReplication(TimePoint now);
    /// Highest term that a majority has reached: each of its members has adopted this term or a higher one.
    [[nodiscard]] Term majorityAdopted() const;
    /// End of the primary's log in its own last report or in a peer's observation, whichever is further.
    [[nodiscard]] LogPosition primaryLog() const;

    // Whether a promotion is needed, in monitortrigger.cpp
    void refreshTrigger(TimePoint now);
    void raiseTrigger(PromotionReason reason, TimePoint now);
    void clearTrigger();
    [[nodiscard]] std::optional<PromotionReason> findTrigger(TimePoint now);
    [[nodiscard]] std::optional<PromotionReason> triggerWithoutPrimary(TimePoint now) const;
    [[nodiscard]] std::optional<PromotionReason> triggerWithPrimary(TimePoint now);
    [[nodiscard]] bool overruledByPeers(const Term &term, TimePoint since) const;
    [[nodiscard]] bool primaryStalled(TimePoint now) const;
    [[nodiscard]] bool needsTermRepair(TimePoint now) const;
    /// How long replicas may now be behind the primary without progress: stallBound(), doubled by each promotion that did not help.
    [[nodiscard]] Microseconds replicationBound() const noexcept;
    /// Delay that lets the owners of lower ranks act first, with random jitter; zero for rank 0.
    [[nodiscard]] Microseconds rankDelay();
    [[nodiscard]] std::size_t reachableMembers(const MemberName &without, TimePoint now) const;
    void queryPeers(TimePoint now);

    // Promotion attempts, in monitorattempt.cpp
    void startPromotion(PromotionReason reason, TimePoint detectedAt, TimePoint now);
    void advancePromotion(TimePoint now);
    void chooseCandidate(TimePoint now);
    void sendPromotionOrders(TimePoint now);
    void sendOrder(MemberTracker &tracker, OrderKind kind, const Term &term);
    void abandonPromotion(TimePoint now);

    // Maintenance, in monitormaintenance.cpp
    void redirectMembers(TimePoint now);
    [[nodiscard]] bool mustFollow(const MemberTracker &tracker, TimePoint now) const;
    void sendReports(TimePoint now);
    void advanceSwitchover(TimePoint now);
    [[nodiscard]] bool primaryLeaving() const;
    void startSwitchover(TimePoint now);
    void endSwitchover(AuditEventKind kind, TimePoint now);
    void planWake(TimePoint now);
    void wakeAt(TimePoint when, TimePoint now) noexcept;

    std::vector<GroupMember> members_;
    /// In the order of members_.
    std::vector<MemberTracker> trackers_;
    unsigned rank_;
    GroupPolicy policy_;
    Random random_;
    /// Actions of the current input; empty between inputs.
    GroupActions actions_;

    /// Highest known term; new attempts use a higher one.
    Term highest_;
    /// Until when to wait for another owner's attempt, which was observed by its term.
    TimePoint peerAttemptUntil_;
    std::optional<PrimaryInfo> primary_;
    /// The last known primary.
    MemberName previousPrimary_;
    /// The other owners' last observations; bounded by PeerObservations.
    PeerObservations peerObservations_;
    /// Consecutive promotions for stalled replication without a confirmed primary since.
    unsigned stalledPromotions_ = 0;
    /// Time of the last QueryPeers.
    TimePoint peersQueriedAt_;
    /// True once SuspicionOverruled was recorded for the primary's current silence.
    bool overrulingRecorded_ = false;
    /// When a pause of this process was last discounted.
    TimePoint lastDiscountedAt_;

    std::optional<PromotionTrigger> trigger_;
    /// Earliest start of an attempt for trigger_.
    TimePoint attemptAllowedAt_;
    /// End of the delay after a failed attempt.
    TimePoint backOffUntil_;
    /// Consecutive abandoned attempts without a confirmed primary since.
    unsigned failedAttempts_ = 0;
    std::optional<Promotion> promotion_;
    Switchover switchover_;
    /// Earliest start of the next switchover.
    TimePoint switchoverAllowedAt_;
    /// Consecutive abandoned switchovers; each doubles the delay before the next, up to a limit.
    unsigned abandonedSwitchovers_ = 0;
    /// The member of the last requestSwitchover(); empty when there is none.
    MemberName requestedLeaving_;
    /// True when the primary was leaving at the last check, by its own report or by request.
    bool primaryWasLeaving_ = false;

    /// When the next tick is due; an input later than this indicates a pause of this process.
    TimePoint wake_;
};

} // namespace cardamomstep
