// Moves a group's leadership from one member to another without losing what was acknowledged.
//
// Pure: the shell performs the returned actions and reports what came of them. Steps: record the move, so that no proxy relies on the
// old primary any more; stop the replicas' replication, so that the old primary acknowledges nothing more; pick a member whose log
// holds all that was acknowledged; have it promoted; record it as the primary.
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
/// Tell a proxy of the move; report held(). It lets statements in flight end for up to `drain`.
struct QuiesceProxy {
    InstanceName proxy;
    GroupRecord record;
    Milliseconds drainTimeout{0};
};
/// Stop a replica's replication at `term`; report memberPaused().
struct StopReplication {
    MemberName member;
    std::uint64_t term = 0;
};
/// Ask a member for its status; report memberStatus().
struct QueryMember {
    MemberName member;
};
/// Have the platform promote the member; report promoted().
struct PromoteMember {
    MemberName member;
};
/// Make a former primary follow.
struct DemoteMember {
    MemberName member;
    std::uint64_t term = 0;
};
/// Let a replica go on with replication.
struct ResumeReplication {
    MemberName member;
};
using PrimaryChangeAction =
    std::variant<StoreRecord, ListProxies, QuiesceProxy, StopReplication, QueryMember, PromoteMember, DemoteMember, ResumeReplication>;
using PrimaryChangeActions = std::vector<PrimaryChangeAction>;

/// Settings of a promotion.
struct PrimaryChangeLimits {
    /// Time that statements in flight are given at a planned move.
    Milliseconds drainTimeout{150};
    /// Time between two attempts at a step that was not answered.
    Milliseconds retryInterval{120};
    /// A replica that cannot be reached for this long is left out if what was acknowledged is known to be held elsewhere.
    Milliseconds memberTimeout{900};
    /// After this time the best reachable member is taken, whatever is missing: who holds the rest is not expected back.
    Milliseconds maxGatheringTime{25'000};
    /// Margin on the lease of views, for timers that fire early.
    Milliseconds primaryTableMargin{50};
    /// A proxy that started more recently does not know all that its instance acknowledged.
    Milliseconds minHistoryUptime{6000};
    /// A member that was promoted and does not lead by then is given up.
    Milliseconds confirmTimeout{3000};
};

/// One move of leadership.
class PrimaryChange
{
public:
    PrimaryChange(GroupRecord record, PrimaryChangeReason reason, TimePoint now, const PrimaryChangeLimits &limits = {});

    /// Takes in a position that some proxy was heard to have acknowledged, also by a process that has ended since.
    void onAcknowledged(const LogPosition &acknowledged);

    /// Sets the group's registered members, now and whenever they change.
    void setMembers(const std::vector<relay::MemberEntry> &members);

    void recorded(Revision revision, TimePoint now);
    /// The record could not be stored; \a conflict ends the move.
    void recordFailed(bool conflict, TimePoint now);
    void proxiesListed(const std::vector<InstanceName> &proxies, TimePoint now);
    void quiesced(const InstanceName &proxy, const LogPosition &acknowledged, Milliseconds uptime, TimePoint now);
    void memberStatus(const MemberStatus &status);
    /// The member confirmed that its replication stopped; \a status is as of then.
    void replicationStopped(const MemberStatus &status, std::uint64_t term);
    /// The platform's answer; \a refused when it said that the member does not run, and `accepted` false with it when there was none.
    void promoted(const MemberName &member, bool accepted, bool refused, TimePoint now);

    /// The actions due at \a now.
    [[nodiscard]] PrimaryChangeActions next(TimePoint now);

    /// True once the move ended, one way or the other.
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
        Recording,
        Gathering,
        Promoting,
        Confirming,
        Publishing,
        Finished,
    };

    struct Candidate {
        MemberName member;
        LogPosition received;
        bool draining = false;
    };

    void recording(PrimaryChangeActions &actions, TimePoint now);
    void gathering(PrimaryChangeActions &actions, TimePoint now);
    void queryMembers(PrimaryChangeActions &actions);
    void quiesceProxies(PrimaryChangeActions &actions);
    void stopReplicas(PrimaryChangeActions &actions);
    void chooseMember(PrimaryChangeActions &actions, TimePoint now);
    void confirming(PrimaryChangeActions &actions, TimePoint now);
    void publishing(PrimaryChangeActions &actions, TimePoint now);
    void advanceRetry(TimePoint now);
    void startPublishing(const MemberName &member);
    [[nodiscard]] bool proxiesSettled(TimePoint now) const;
    [[nodiscard]] bool allAcknowledgementsKnown() const;
    [[nodiscard]] bool replicasSettled() const;
    [[nodiscard]] std::optional<Candidate> bestCandidate() const;
    [[nodiscard]] bool planned() const noexcept
    {
        return reason_ == PrimaryChangeReason::Leaving;
    }

    PrimaryChangeLimits limits_;
    GroupRecord record_;
    PrimaryChangeReason reason_;
    TimePoint startedAt_;
    Phase phase_ = Phase::Recording;
    std::map<MemberName, relay::MemberEntry> members_;
    /// When the store confirmed that the move is recorded.
    TimePoint recordedAt_;
    std::optional<std::set<InstanceName>> proxies_;
    /// Proxies that hold, and whether they know all that their instance acknowledged.
    std::map<InstanceName, bool> quiesced_;
    LogPosition acknowledged_;
    std::map<MemberName, MemberStatus> statuses_;
    /// Replicas whose replication was stopped at fenceTerm_.
    std::set<MemberName> stoppedReplicas_;
    std::uint64_t stopTerm_ = 0;
    std::set<MemberName> refusedMembers_;
    MemberName chosenMember_;
    /// This move ordered a promotion itself.
    bool promotionRequested_ = false;
    TimePoint promotedAt_;
    std::uint64_t newTerm_ = 0;
    /// The phase's requests were sent; they are sent again then.
    TimePoint retryAt_;
};

} // namespace cardamomstep::leadership
