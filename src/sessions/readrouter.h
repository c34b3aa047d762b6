// Chooses the member that runs a read and verifies that its reply is fresh enough.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/result.h"
#include "base/time.h"
#include "connections/smoothedtime.h"
#include "members/member.h"
#include "sessions/freshness.h"
#include "sessions/fwd.h"
#include "sessions/impl/timedpositions.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace cardamomstep {

/// How fresh the data of one read must be, and until when the read must be answered.
struct ReadRequirements {
    /// The log position of the session's last write in this group; nothing when it has not written there.
    std::optional<LogPosition> sessionPosition;
    /// The age of data that the caller accepts, counted back from `arrived`; without it the read must be current.
    std::optional<Milliseconds> acceptedAge;
    /// When the read arrived at this process.
    TimePoint arrived;
    /// The time by which the answer must have been sent.
    TimePoint deadline;
};

/// Collect reports in a round that begins now, pass its acknowledgedBound() to ReadRouter::confirm(), then route again.
struct CollectReports {
    [[nodiscard]] bool operator==(const CollectReports &) const = default;
};

/// Send the read to this member, then verify its reply.
struct ReadFromMember {
    MemberName member;
    bool isPrimary = false;
    /// The lowest log position that the reply may have.
    LogPosition required;

    [[nodiscard]] bool operator==(const ReadFromMember &) const = default;
};

/// Route again when a report arrives, or at `until`: a replica is expected to be fresh enough by then.
struct AwaitReplica {
    TimePoint until;

    [[nodiscard]] bool operator==(const AwaitReplica &) const = default;
};

/// Answer the read with this error; no reply was used.
struct GiveUpRead {
    Error error;

    [[nodiscard]] bool operator==(const GiveUpRead &) const = default;
};

/// The next step of a read.
using ReadStep = std::variant<CollectReports, ReadFromMember, AwaitReplica, GiveUpRead>;

/// The progress of one read; owned by the code that performs the read and passed to the router at each step.
class ReadPlan
{
public:
    explicit ReadPlan(const ReadRequirements &requirements) noexcept
        : requirements_(requirements)
    {
    }

    [[nodiscard]] const ReadRequirements &requirements() const noexcept
    {
        return requirements_;
    }

    /// The lowest log position that a reply may have, once it is known.
    [[nodiscard]] const std::optional<LogPosition> &required() const noexcept
    {
        return required_;
    }

private:
    friend class ReadRouter;

    ReadRequirements requirements_;
    std::optional<LogPosition> required_;
    /// Members that failed this read, and members whose reply was stale; bit N is for the member at index N of the router.
    std::uint32_t failedMembers_ = 0;
    std::uint32_t staleMembers_ = 0;
    /// The end of the wait for a replica; set at the first wait.
    std::optional<TimePoint> waitEnd_;
};

/// Settings of the router.
struct ReadRouterLimits {
    /// The longest wait for a replica to become fresh enough.
    Microseconds maxReplicaWait{15'000};
    /// The added cost of a member whose reply may be stale.
    Microseconds stalePenalty{6'000};
    /// The added cost of the primary, so that its slots stay free for writes.
    Microseconds primaryPenalty{50'000};
    /// The added cost per request that waits for a slot of the member.
    Microseconds queuePenalty{5'000};
};

/// Routes the reads of one database group.
///
/// The I/O layer reports what it observes of members and rounds, and performs a read like this:
/// \code
/// ReadPlan plan{requirements};
/// for (;;) {
///     const auto step = router.route(plan, now);
///     // CollectReports: run a round, call confirm(roundStart, bound), route again; without a majority, answer NotFresh
///     // ReadFromMember: execute, then verify(plan, member, reply.position, now); false means route again, true means
///     //   answer once reply.position is replicated to a quorum; if its term is superseded first, call onReadFailed() and route again
///     // AwaitReplica: wait until a report arrives or `until`
///     // GiveUpRead: answer with the error
/// }
/// \endcode
/// At most maxMembers members are considered.
class ReadRouter
{
public:
    static constexpr std::size_t maxMembers = 16;

    explicit ReadRouter(const ReadRouterLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Sets the group's members; those that are no longer listed get no more reads.
    ///
    /// Members keep their index, so plans stay valid; a new member reuses the index of one that is no longer listed. Members
    /// beyond maxMembers are not used.
    void setMembers(const std::vector<MemberName> &members);

    /// Applies a member's report that arrived at \a now.
    void report(const MemberReport &report, TimePoint now);

    /// Sets the group's primary, as the group's monitor knows it.
    void setPrimary(const MemberName &primary);

    /// Records that the primary is unknown.
    void clearPrimary() noexcept;

    /// Records a confirmed round; see FreshnessHistory::confirm().
    void confirm(TimePoint roundStart, const LogPosition &bound);

    /// Sets whether a member is suspect (its connections fail or are silent); a suspect member gets no reads.
    void setSuspect(const MemberName &member, bool suspect);

    /// Sets the measured time of one exchange with a member, without its execution time.
    void setRoundTrip(const MemberName &member, Microseconds roundTrip);

    /// Sets how many requests of this proxy the member is running, and how many it may run at once.
    void setLoad(const MemberName &member, std::uint32_t inFlight, std::uint32_t slots);

    /// Returns the next step of \a plan.
    [[nodiscard]] ReadStep route(ReadPlan &plan, TimePoint now);

    /// Returns whether a member's reply at log position \a position is fresh enough.
    ///
    /// Before the answer is sent, \a position must be known to be replicated to a majority, or a promotion may drop what the read saw.
    /// A stale reply raises the estimate of that member's lag. The plan then no longer uses a primary, and a replica only once its
    /// known position suffices.
    [[nodiscard]] bool verify(ReadPlan &plan, const MemberName &member, const LogPosition &position, TimePoint now);

    /// Records that \a member gave no usable reply; the plan does not use it again.
    void onReadFailed(ReadPlan &plan, const MemberName &member);

    /// Returns when \a position, which the primary has, is expected to be held and reported by a majority.
    ///
    /// Returns nothing when too few replicas are usable to form a majority. The result is an input of
    /// WriteAttempt::replicationExpected().
    [[nodiscard]] std::optional<TimePoint> replicationExpected(const LogPosition &position, TimePoint now) const;

    /// The greatest log position in any report, fresh reply or confirmed round.
    [[nodiscard]] const LogPosition &highestReported() const noexcept
    {
        return highestReported_;
    }

    [[nodiscard]] const FreshnessHistory &history() const noexcept
    {
        return history_;
    }

private:
    struct Member {
        MemberName name;
        bool listed = true;
        bool positionKnown = false;
        bool leaving = false;
        bool suspect = false;
        /// The last log position known of this member, and when it was observed.
        LogPosition position;
        TimePoint positionObservedAt;
        /// How long after the primary this member reaches a log position.
        SmoothedTime lag;
        Microseconds roundTrip{1000};
        std::uint32_t inFlight = 0;
        std::uint32_t slots = 1;
    };

    struct Candidate {
        std::size_t index = 0;
        Microseconds cost{0};
    };

    [[nodiscard]] Member *find(const MemberName &name) noexcept;
    void add(const MemberName &name);
    [[nodiscard]] std::size_t indexOf(const MemberName &name) const noexcept;
    [[nodiscard]] std::optional<ReadStep> resolveRequired(ReadPlan &plan, TimePoint now) const;
    [[nodiscard]] std::optional<Candidate> bestReplica(const ReadPlan &plan, TimePoint now) const;
    [[nodiscard]] std::optional<Candidate> primaryCandidate(const ReadPlan &plan, TimePoint now) const;
    [[nodiscard]] std::optional<TimePoint> waitForReplica(ReadPlan &plan, TimePoint now) const;
    [[nodiscard]] GiveUpRead giveUp(const ReadPlan &plan, TimePoint now) const;
    [[nodiscard]] bool usable(std::size_t index, const ReadPlan &plan, TimePoint now) const noexcept;
    /// Returns when \a member is expected to have reached \a wanted.
    [[nodiscard]] TimePoint expectedAt(const Member &member, const LogPosition &wanted, TimePoint now) const noexcept;
    /// Returns the expected time of a read at \a member: one round trip and the wait for a slot.
    [[nodiscard]] Microseconds costOf(const Member &member) const noexcept;
    void recordPosition(Member &member, const LogPosition &position, TimePoint now);
    void recordPrimaryPosition(const LogPosition &position, TimePoint now);

    ReadRouterLimits limits_;
    FreshnessHistory history_;
    /// Invariant: at most maxMembers, each name once.
    std::vector<Member> members_;
    /// The index of the primary; maxMembers when it is unknown.
    std::size_t primary_ = maxMembers;
    /// When the primary was first observed at each log position.
    impl::TimedPositions primaryPositions_;
    LogPosition highestReported_;
};

} // namespace cardamomstep
