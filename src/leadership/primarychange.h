// Changes a group's primary from one member to another without losing acknowledged writes.
//
// Does no I/O: the I/O layer performs the returned actions and reports their results. Steps: record the change, so that no proxy relies
// on the old primary any longer; stop the replicas' replication, so that the old primary acknowledges nothing more; choose a member
// whose log holds all that was acknowledged; have it promoted; record it as the primary.
//
// A promotion may take effect although its reply is lost or the promoted member cannot be reached. Once one may have, no status that
// the old primary reported proves that it still leads; it is recorded again only after the platform has promoted it, too.
#pragma once

#include "leadership/primaryfailuredetector.h"
#include "leadership/record.h"
#include "relay/directory.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace cardamomstep::leadership {

/// Store this record if the stored one is still at its revision; report recorded() or recordFailed().
struct StoreRecord {
    GroupRecord record;
};
/// List the live proxies from the store; report proxiesListed().
struct ListProxies {
};
/// Quiesce a proxy for the change; report quiesced(). It lets statements in flight end for up to `drainTimeout`.
struct QuiesceProxy {
    InstanceName proxy;
    GroupRecord record;
    Milliseconds drainTimeout{0};
};
/// Stop a replica's replication at `term`; report replicationStopped().
struct StopReplication {
    MemberName member;
    std::uint64_t term = 0;
};
/// Query a member's status; report memberStatus().
struct QueryMember {
    MemberName member;
};
/// Have the platform promote the member; report promoted().
struct PromoteMember {
    MemberName member;
    /// Number of earlier promotions by this change that may have taken effect without being confirmed.
    std::size_t unconfirmedBefore = 0;
};
/// Make a former primary a replica.
struct DemoteMember {
    MemberName member;
    std::uint64_t term = 0;
};
/// Resume a replica's replication.
struct ResumeReplication {
    MemberName member;
};
using PrimaryChangeAction =
    std::variant<StoreRecord, ListProxies, QuiesceProxy, StopReplication, QueryMember, PromoteMember, DemoteMember, ResumeReplication>;
using PrimaryChangeActions = std::vector<PrimaryChangeAction>;

/// What became of a request to promote a member.
enum class PromotionOutcome : std::uint8_t {
    Accepted, ///< The platform started the promotion, or the member is the platform's present primary.
    Refused, ///< The platform reported that the member does not run; this request had no effect.
    Unknown, ///< No reply; it may have taken effect.
    NotExecuted, ///< The request was not sent, or the platform took no requests; it had no effect.
};

/// Settings of a primary change.
struct PrimaryChangeLimits {
    /// Time for statements in flight to end during a planned change.
    Milliseconds drainTimeout{150};
    /// Time between two attempts at a step that got no reply.
    Milliseconds retryInterval{120};
    /// Time after which an unreachable replica is left out, if another member is known to hold all that was acknowledged. After the same
    /// time the old primary is kept if it leads and no candidate holds all that was acknowledged.
    Milliseconds memberTimeout{900};
    /// Time after which the best reachable member is promoted, whatever it lacks: the members that hold the rest are not expected back.
    Milliseconds maxGatheringTime{25'000};
    /// Margin on the lease of primary tables, for timers that fire early.
    Milliseconds primaryTableMargin{50};
    /// Uptime below which a proxy may not know all that its instance acknowledged before a restart.
    Milliseconds minHistoryUptime{6000};
    /// Time after which a promoted member that does not lead is replaced by another candidate; no promotion takes longer to take effect.
    Milliseconds confirmTimeout{3000};
};

/// One change of a group's primary.
class PrimaryChange
{
public:
    /// From \a inheritedSettledAt on, no promotion that an earlier lease holder requested can take effect; used only for a change that it
    /// began.
    PrimaryChange(GroupRecord record,
                  PrimaryChangeReason reason,
                  TimePoint now,
                  TimePoint inheritedSettledAt,
                  const PrimaryChangeLimits &limits = {});

    /// Records a position that a proxy acknowledged to a caller, also when that process has ended since.
    void onAcknowledged(const LogPosition &acknowledged);

    /// Sets the group's registered members, now and whenever they change.
    void setMembers(const std::vector<relay::MemberEntry> &members);

    void recorded(Revision revision, TimePoint now);
    /// Records that the record could not be stored; \a conflict ends the change.
    void recordFailed(bool conflict, TimePoint now);
    void proxiesListed(const std::vector<InstanceName> &proxies, TimePoint now);
    void quiesced(const InstanceName &proxy, const LogPosition &acknowledged, Milliseconds uptime, TimePoint now);
    void memberStatus(const MemberStatus &status);
    /// Records that the member confirmed that its replication stopped at \a term; \a status is as of then.
    void replicationStopped(const MemberStatus &status, std::uint64_t term);
    void promoted(const MemberName &member, PromotionOutcome outcome, TimePoint now);

    /// Returns the actions due at \a now.
    [[nodiscard]] PrimaryChangeActions next(TimePoint now);

    /// True once the change has ended, whatever its result.
    [[nodiscard]] bool finished() const noexcept
    {
        return phase_ == Phase::Finished;
    }

    [[nodiscard]] const GroupRecord &record() const noexcept
    {
        return record_;
    }
    [[nodiscard]] PrimaryChangeReason reason() const noexcept
    {
        return reason_;
    }
    [[nodiscard]] TimePoint startedAt() const noexcept
    {
        return startedAt_;
    }

private:
    enum class Phase : std::uint8_t {
        Recording, ///< Stores that a change is in progress.
        Contesting, ///< Stores that more than one member may have been promoted.
        Gathering, ///< Quiesces the proxies, stops the replicas and chooses the member to promote.
        Promoting, ///< Waits for the platform's reply to the promotion.
        Confirming, ///< Waits until the promoted member reports that it leads.
        Publishing, ///< Stores the primary and the end of the change.
        Finished,
    };

    struct Candidate {
        MemberName member;
        LogPosition received;
        bool draining = false;
    };

    /// A promotion that may have taken effect.
    struct UnconfirmedPromotion {
        MemberName member;
        /// Only a higher term proves that this promotion took effect; 0 if any term does.
        std::uint64_t termFloor = 0;
    };

    void recording(PrimaryChangeActions &actions, TimePoint now);
    void contesting(PrimaryChangeActions &actions, TimePoint now);
    void gathering(PrimaryChangeActions &actions, TimePoint now);
    void queryMembers(PrimaryChangeActions &actions, TimePoint now);
    /// The member that certainly leads, although the recorded primary may be outdated; nothing while that is not known.
    [[nodiscard]] std::optional<MemberName> verifiedLeader() const;
    /// True if \a member may have to be stopped or promoted: it is not known to lead.
    [[nodiscard]] bool isReplica(const MemberName &member) const noexcept
    {
        return reason_ == PrimaryChangeReason::Unverified || member != record_.primary;
    }
    void quiesceProxies(PrimaryChangeActions &actions);
    void stopReplicas(PrimaryChangeActions &actions);
    void chooseMember(PrimaryChangeActions &actions, TimePoint now);
    void promoting(PrimaryChangeActions &actions, TimePoint now);
    void confirming(PrimaryChangeActions &actions, TimePoint now);
    void publishing(PrimaryChangeActions &actions, TimePoint now);
    void demoteOthers(PrimaryChangeActions &actions) const;
    void advanceRetry(TimePoint now);
    void startPublishing(const MemberName &member);
    void usePrimaryAgain(PrimaryChangeActions &actions, TimePoint now);
    void startPromoting(const MemberName &member, PrimaryChangeActions &actions, TimePoint now);
    void noteUnconfirmedPromotion(TimePoint now);
    void gatherAgain(TimePoint now);
    void noteStatus(const MemberStatus &status);
    [[nodiscard]] bool confirmsLastPromotion() const;
    [[nodiscard]] bool leadsUndoubtedly(const MemberName &member) const;
    [[nodiscard]] std::uint64_t highestPossibleTerm() const noexcept;
    [[nodiscard]] std::uint64_t termFloorFor(const MemberName &member) const;
    [[nodiscard]] bool proxiesSettled(TimePoint now) const;
    [[nodiscard]] bool allAcknowledgementsKnown() const;
    [[nodiscard]] bool replicasSettled() const;
    [[nodiscard]] std::optional<Candidate> bestCandidate() const;
    [[nodiscard]] bool planned() const noexcept
    {
        return reason_ == PrimaryChangeReason::Leaving;
    }
    /// True if an earlier lease holder may have promoted a member for this change.
    [[nodiscard]] bool inherited() const noexcept
    {
        return reason_ == PrimaryChangeReason::Resumed || reason_ == PrimaryChangeReason::Unverified;
    }
    /// True if another member may lead in place of the recorded primary.
    [[nodiscard]] bool mayBeSuperseded() const noexcept
    {
        return inherited() || !unconfirmedPromotions_.empty();
    }

    PrimaryChangeLimits limits_;
    GroupRecord record_;
    PrimaryChangeReason reason_;
    TimePoint startedAt_;
    Phase phase_ = Phase::Recording;
    std::map<MemberName, relay::MemberEntry> members_;
    /// When the store confirmed the record of the change; the start when the change was already recorded.
    TimePoint recordedAt_;
    /// When the members were asked first, or again after a promotion that was not confirmed.
    TimePoint gatheringSince_;
    std::optional<std::set<InstanceName>> proxies_;
    /// The quiesced proxies, and whether each knows all that its instance acknowledged.
    std::map<InstanceName, bool> quiesced_;
    LogPosition acknowledged_;
    std::map<MemberName, MemberStatus> statuses_;
    /// Replicas whose replication was stopped at stopTerm_.
    std::set<MemberName> stoppedReplicas_;
    std::uint64_t stopTerm_ = 0;
    /// The highest term that any member reported.
    std::uint64_t highestTerm_ = 0;
    /// Members that do not run, by the platform's reply, and that have not reported a status since.
    std::set<MemberName> refusedMembers_;
    MemberName chosenMember_;
    /// The chosen member leads by a promotion of this change that came after all stops; it resumed the replicas.
    bool resumedByPromotion_ = false;
    /// Promotions by this change that may have taken effect, oldest first.
    std::vector<UnconfirmedPromotion> unconfirmedPromotions_;
    /// An earlier lease holder may have promoted more than one member.
    bool contestedBefore_ = false;
    /// Promotions of an earlier lease holder can no longer take effect, and the members were asked again since.
    bool inheritedSettled_ = false;
    /// From when none of them, and none of an earlier lease holder, can take effect any more.
    TimePoint promotionsSettledAt_;
    /// The highest term that one of them can have begun; 0 for none.
    std::uint64_t highestPromotedTerm_ = 0;
    /// See UnconfirmedPromotion::termFloor; of the promotion in progress.
    std::uint64_t termFloor_ = 0;
    TimePoint promotedAt_;
    std::uint64_t newTerm_ = 0;
    /// When the requests of the phase are sent next.
    TimePoint retryAt_;
};

} // namespace cardamomstep::leadership
