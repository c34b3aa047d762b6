// Watches one database group, finds its primary and replaces it when it fails; see docs/design/failover.md.
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

/// The decisions of one owner about one group.
///
/// Up to three owners run the same machine for a group and need not agree on anything: safety rests on the members'
/// terms alone. Every input returns the actions that follow from it, in order. Inputs are never concurrent, and their
/// `now` never goes back.
///
/// Example of a shell's loop:
/// \code
/// perform(monitor.tick(now));
/// sleepUntil(monitor.nextWake());
/// \endcode
class GroupMonitor
{
public:
    /// Watches \a members as an owner of rank \a rank; 0 acts first.
    ///
    /// \a seed must differ between processes and starts, because proposers of terms are drawn from it.
    GroupMonitor(std::vector<GroupMember> members, unsigned rank, const GroupPolicy &policy, std::uint64_t seed, TimePoint now);

    /// Time has passed; also the first input.
    [[nodiscard]] GroupActions tick(TimePoint now);

    /// \a report came from \a member, asked for at \a sentAt: the reply to a SendReport.
    [[nodiscard]] GroupActions onReport(const MemberName &member, const MemberReport &report, TimePoint sentAt, TimePoint now);

    /// A SendReport to \a member failed.
    [[nodiscard]] GroupActions onLinkFailure(const MemberName &member, const LinkFailure &failure, TimePoint now);

    /// \a member replied to the order \a kind of \a term that was sent at \a sentAt.
    [[nodiscard]] GroupActions
    onOrderReply(const MemberName &member, OrderKind kind, const Term &term, const TermReply &reply, TimePoint sentAt, TimePoint now);

    /// The order \a kind of \a term to \a member failed; it may still have taken effect.
    [[nodiscard]] GroupActions
    onOrderFailure(const MemberName &member, OrderKind kind, const Term &term, const LinkFailure &failure, TimePoint now);

    /// Another owner told what it knows.
    [[nodiscard]] GroupActions onPeerSighting(const InstanceName &peer, const PeerSighting &sighting, TimePoint now);

    /// A statement's exchange with \a member succeeded: a sign of life. Refusals by the member count too.
    [[nodiscard]] GroupActions onStatementEvidence(const MemberName &member, TimePoint now);

    /// This owner's rank changed.
    [[nodiscard]] GroupActions setRank(unsigned rank, TimePoint now);

    /// The group's configured members changed.
    ///
    /// Majorities of the old and the new list must intersect: change one member at a time.
    [[nodiscard]] GroupActions setMembers(std::vector<GroupMember> members, TimePoint now);

    /// The policy changed, for example its heartbeat interval (see pacing.h).
    [[nodiscard]] GroupActions setPolicy(const GroupPolicy &policy, TimePoint now);

    /// \a leaving is to stop: if it leads, hand over to a replica. Asking again does nothing; an empty name withdraws.
    [[nodiscard]] GroupActions requestSwitchover(const MemberName &leaving, TimePoint now);

    /// Another owner holds writes for a switchover until \a until: this one begins none of its own meanwhile.
    [[nodiscard]] GroupActions onPeerHold(TimePoint until, TimePoint now);

    /// When tick() must be called at the latest.
    [[nodiscard]] TimePoint nextWake() const noexcept;

    /// The primary at the highest term known; none while no member is known to lead.
    [[nodiscard]] std::optional<PrimaryView> primary() const;

    /// What to tell the other owners.
    [[nodiscard]] PeerSighting sighting(TimePoint now) const;

    /// The last report of \a member; none when it has not reported.
    [[nodiscard]] std::optional<MemberReport> lastReport(const MemberName &member) const;

    /// Time since the last sign of life of \a member; none when there was none or the member is unknown.
    [[nodiscard]] std::optional<Microseconds> age(const MemberName &member, TimePoint now) const;

    /// True while an own attempt is under way.
    [[nodiscard]] bool promoting() const noexcept;

    /// The configured members.
    [[nodiscard]] const std::vector<GroupMember> &members() const noexcept;

private:
    struct Need {
        PromotionReason reason = PromotionReason::NoPrimary;
        TimePoint since;
    };

    // Inputs, in monitor.cpp
    void begin(TimePoint now);
    [[nodiscard]] GroupActions settle(TimePoint now);
    void forgiveOwnPause(TimePoint now);
    void learn(MemberWatch &watch, const MemberReport &report, TimePoint sentAt, TimePoint now);
    void noteTerm(const Term &term, TimePoint now);
    void note(NoteKind kind, const MemberName &member, const Term &term, PromotionReason reason = PromotionReason::Observed);
    [[nodiscard]] MemberWatch *find(const MemberName &member) noexcept;
    [[nodiscard]] const MemberWatch *find(const MemberName &member) const noexcept;
    [[nodiscard]] std::size_t majority() const noexcept;
    [[nodiscard]] bool isPrimary(const MemberName &member) const noexcept;
    [[nodiscard]] bool silent(const MemberWatch &watch, TimePoint now) const noexcept;
    [[nodiscard]] bool reachable(const MemberWatch &watch, TimePoint now) const noexcept;

    // Which member leads, in monitorbelief.cpp
    void refreshPrimary(TimePoint now);
    void believe(const MemberWatch &watch, TimePoint now);
    void losePrimary();
    void confirmPrimary();
    void refreshReplication(TimePoint now);
    [[nodiscard]] Term majorityAdopted() const;
    [[nodiscard]] Mark primaryLog() const;

    // Whether a promotion is needed, in monitorneed.cpp
    void refreshNeed(TimePoint now);
    void raiseNeed(PromotionReason reason, TimePoint now);
    void clearNeed();
    [[nodiscard]] std::optional<PromotionReason> findNeed(TimePoint now);
    [[nodiscard]] std::optional<PromotionReason> needWithoutPrimary(TimePoint now) const;
    [[nodiscard]] std::optional<PromotionReason> needWithPrimary(TimePoint now);
    [[nodiscard]] bool heldBack(const Term &term, TimePoint since) const;
    [[nodiscard]] bool primaryStalled(TimePoint now) const;
    [[nodiscard]] bool termStranded(TimePoint now) const;
    [[nodiscard]] Microseconds replicationBound() const noexcept;
    [[nodiscard]] Microseconds rankDelay();
    [[nodiscard]] std::size_t reachableMembers(const MemberName &without, TimePoint now) const;
    void askPeers(TimePoint now);

    // Attempts, in monitorattempt.cpp
    void startPromotion(PromotionReason reason, TimePoint detectedAt, TimePoint now);
    void advancePromotion(TimePoint now);
    void chooseCandidate(TimePoint now);
    void sendPromotionOrders(TimePoint now);
    void sendOrder(MemberWatch &watch, OrderKind kind, const Term &term);
    void abandonPromotion(TimePoint now);

    // Upkeep, in monitorupkeep.cpp
    void redirectMembers(TimePoint now);
    [[nodiscard]] bool mustFollow(const MemberWatch &watch, TimePoint now) const;
    void sendReports(TimePoint now);
    void advanceSwitchover(TimePoint now);
    [[nodiscard]] bool primaryLeaving() const;
    void startSwitchover(TimePoint now);
    void endSwitchover(NoteKind kind, TimePoint now);
    void planWake(TimePoint now);
    void wakeAt(TimePoint when, TimePoint now) noexcept;

    std::vector<GroupMember> members_;
    /// In the order of members_.
    std::vector<MemberWatch> watches_;
    unsigned rank_;
    GroupPolicy policy_;
    Random random_;
    /// Actions of the input that is being handled; empty between inputs.
    GroupActions actions_;

    /// Highest term seen anywhere; new attempts go above it.
    Term highest_;
    /// Until when another owner's attempt, seen by its term, is left alone.
    TimePoint foreignUntil_;
    std::optional<PrimaryView> primary_;
    /// The last member that was known to lead.
    MemberName previousPrimary_;
    /// Other owners' sightings, at most one for each of Suspicion's bounded number of peers.
    Suspicion suspicion_;
    /// How many promotions in a row did not mend replication.
    unsigned stalledPromotions_ = 0;
    TimePoint peersAskedAt_;
    /// True once the present silence was noted as held back by other owners.
    bool heldBackNoted_ = false;
    TimePoint lastForgiven_;

    std::optional<Need> need_;
    /// Earliest start of an attempt for need_.
    TimePoint startAt_;
    /// End of the pause after a failed attempt.
    TimePoint backOffUntil_;
    unsigned failedAttempts_ = 0;
    std::optional<Promotion> promotion_;
    Switchover switchover_;
    /// Earliest start of the next switchover.
    TimePoint switchoverAllowedAt_;
    /// Switchovers abandoned in a row; each doubles the pause before the next.
    unsigned abandonedSwitchovers_ = 0;
    /// A member that was asked to leave; empty when none was.
    MemberName leaving_;
    /// True when the primary was leaving at the last look, by its own report or by request.
    bool primaryLeaves_ = false;

    TimePoint wake_;
};

} // namespace cardamomstep
