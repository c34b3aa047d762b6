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
struct HoldProxy {
    InstanceName proxy;
    GroupRecord record;
    Milliseconds drain{0};
};
/// Stop a replica's replication at `term`; report memberPaused().
struct PauseMember {
    MemberName member;
    std::uint64_t term = 0;
};
/// Ask a member for its status; report memberStatus().
struct AskMember {
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
struct ResumeMember {
    MemberName member;
};
using PromotionAction =
    std::variant<StoreRecord, ListProxies, HoldProxy, PauseMember, AskMember, PromoteMember, DemoteMember, ResumeMember>;
using PromotionActions = std::vector<PromotionAction>;

/// Settings of a promotion.
struct PromotionLimits {
    /// Time that statements in flight are given at a planned move.
    Milliseconds drain{150};
    /// Time between two attempts at a step that was not answered.
    Milliseconds retry{120};
    /// A replica that cannot be reached for this long is left out if what was acknowledged is known to be held elsewhere.
    Milliseconds memberPatience{900};
    /// After this time the best reachable member is taken, whatever is missing: who holds the rest is not expected back.
    Milliseconds longestGathering{25'000};
    /// Margin on the lease of views, for timers that fire early.
    Milliseconds viewMargin{50};
    /// A proxy that started more recently does not know all that its instance acknowledged.
    Milliseconds knowingUptime{6000};
    /// A member that was promoted and does not lead by then is given up.
    Milliseconds confirmPatience{3000};
};

/// One move of leadership.
class Promotion
{
public:
    Promotion(GroupRecord record, MoveReason reason, TimePoint now, const PromotionLimits &limits = {});

    /// Takes in a position that some proxy was heard to have acknowledged, also by a process that has ended since.
    void known(const Mark &acknowledged);

    /// Sets the group's registered members, now and whenever they change.
    void setMembers(const std::vector<relay::MemberEntry> &members);

    void recorded(Revision revision, TimePoint now);
    /// The record could not be stored; \a conflict ends the move.
    void recordFailed(bool conflict, TimePoint now);
    void proxiesListed(const std::vector<InstanceName> &proxies, TimePoint now);
    void held(const InstanceName &proxy, const Mark &acknowledged, Milliseconds uptime, TimePoint now);
    void memberStatus(const MemberStatus &status);
    /// The member confirmed that its replication stopped; \a status is as of then.
    void memberPaused(const MemberStatus &status, std::uint64_t term);
    /// The platform's answer; \a refused when it said that the member does not run, and `accepted` false with it when there was none.
    void promoted(const MemberName &member, bool accepted, bool refused, TimePoint now);

    /// The actions due at \a now.
    [[nodiscard]] PromotionActions next(TimePoint now);

    /// True once the move ended, one way or the other.
    [[nodiscard]] bool over() const noexcept
    {
        return phase_ == Phase::Over;
    }

    [[nodiscard]] const GroupRecord &record() const noexcept
    {
        return record_;
    }
    [[nodiscard]] MoveReason reason() const noexcept
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
        Over,
    };

    struct Candidate {
        MemberName member;
        Mark received;
        bool draining = false;
    };

    void recording(PromotionActions &actions, TimePoint now);
    void gathering(PromotionActions &actions, TimePoint now);
    void askMembers(PromotionActions &actions);
    void askProxies(PromotionActions &actions);
    void pauseReplicas(PromotionActions &actions);
    void choose(PromotionActions &actions, TimePoint now);
    void confirming(PromotionActions &actions, TimePoint now);
    void publishing(PromotionActions &actions, TimePoint now);
    void gatherSooner(TimePoint now);
    void publish(const MemberName &member);
    [[nodiscard]] bool proxiesSettled(TimePoint now) const;
    [[nodiscard]] bool allProxiesKnown() const;
    [[nodiscard]] bool replicasSettled() const;
    [[nodiscard]] std::optional<Candidate> best() const;
    [[nodiscard]] bool planned() const noexcept
    {
        return reason_ == MoveReason::Leaving;
    }

    PromotionLimits limits_;
    GroupRecord record_;
    MoveReason reason_;
    TimePoint startedAt_;
    Phase phase_ = Phase::Recording;
    std::map<MemberName, relay::MemberEntry> members_;
    /// When the store confirmed that the move is recorded.
    TimePoint recordedAt_;
    std::optional<std::set<InstanceName>> proxies_;
    /// Proxies that hold, and whether they know all that their instance acknowledged.
    std::map<InstanceName, bool> held_;
    Mark acknowledged_;
    std::map<MemberName, MemberStatus> statuses_;
    /// Replicas whose replication was stopped at fenceTerm_.
    std::set<MemberName> paused_;
    std::uint64_t fenceTerm_ = 0;
    std::set<MemberName> refused_;
    MemberName chosen_;
    /// This move ordered a promotion itself.
    bool ordered_ = false;
    TimePoint promotedAt_;
    std::uint64_t newTerm_ = 0;
    /// The phase's requests were sent; they are sent again then.
    TimePoint retryAt_;
};

} // namespace cardamomstep::leadership
