// Chooses the member that answers a read and verifies that its answer is fresh enough.
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

/// What one read asks of the data it sees.
struct ReadNeed {
    /// The session's mark in this group; nothing when it has not written there.
    std::optional<Mark> token;
    /// Age of data that the caller accepts, counted back from `arrived`; without it the read is current.
    std::optional<Milliseconds> acceptedAge;
    /// When the read arrived at this process.
    TimePoint arrived;
    /// When the answer must have left.
    TimePoint deadline;
};

/// Collect reports in a round that begins now, hand its acknowledgedBound() to ReadRouter::confirm(), then route again.
struct CollectReports {
    [[nodiscard]] bool operator==(const CollectReports &) const = default;
};

/// Send the read to this member, then verify its reply.
struct AskMember {
    MemberName member;
    bool isPrimary = false;
    /// The reply's mark must reach this.
    Mark required;

    [[nodiscard]] bool operator==(const AskMember &) const = default;
};

/// Route again when a report arrives, at the latest at `until`: a replica is about to be fresh enough.
struct AwaitReplica {
    TimePoint until;

    [[nodiscard]] bool operator==(const AwaitReplica &) const = default;
};

/// Answer the read with this error; nothing ran.
struct GiveUpRead {
    Error error;

    [[nodiscard]] bool operator==(const GiveUpRead &) const = default;
};

/// The next step of a read.
using ReadStep = std::variant<CollectReports, AskMember, AwaitReplica, GiveUpRead>;

/// The progress of one read; held by whoever carries it out and handed to the router at each step.
class ReadPlan
{
public:
    explicit ReadPlan(const ReadNeed &need) noexcept
        : need_(need)
    {
    }

    [[nodiscard]] const ReadNeed &need() const noexcept
    {
        return need_;
    }

    /// The mark that an answer must reach, once it is known.
    [[nodiscard]] const std::optional<Mark> &required() const noexcept
    {
        return required_;
    }

private:
    friend class ReadRouter;

    ReadNeed need_;
    std::optional<Mark> required_;
    /// Members that failed this read or answered it too old; bit N stands for the member at index N of the router's members.
    std::uint32_t failed_ = 0;
    std::uint32_t stale_ = 0;
    /// End of waiting for a replica; set at the first wait.
    std::optional<TimePoint> waitEnd_;
};

/// Settings of the router.
struct ReadRouterLimits {
    /// Longest wait for a replica that is about to be fresh enough.
    Microseconds patience{15'000};
    /// Extra cost of asking a member that may prove stale.
    Microseconds stalePenalty{6'000};
    /// Extra cost of using the primary, so that its slots are kept for writes.
    Microseconds primaryPenalty{50'000};
    /// Extra cost for each request that waits for a slot of the member.
    Microseconds queuePenalty{5'000};
};

/// Routes the reads of one database group.
///
/// A shell reports what it learns about members and rounds, and carries a read out like this:
/// \code
/// ReadPlan plan{need};
/// for (;;) {
///     const auto step = router.route(plan, now);
///     // CollectReports: run a round, call confirm(began, bound), route again; without a majority, answer NotFresh
///     // AskMember: execute, then verify(plan, member, reply.mark, now); false means route again, true means
///     //   answer once reply.mark is covered; where its term is superseded first, call failed() and route again
///     // AwaitReplica: sleep until a report arrives or `until`
///     // GiveUpRead: answer the error
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
    /// Members keep their place, so plans stay valid; a new one takes the place of one that is no longer listed. Members
    /// beyond maxMembers are not used.
    void setMembers(const std::vector<MemberName> &members);

    /// Takes in a member's report that arrived at \a now.
    void report(const MemberReport &report, TimePoint now);

    /// Takes in that \a primary is the group's primary, as the groups slice sees it.
    void setPrimary(const MemberName &primary);

    /// Takes in that the primary is not known.
    void clearPrimary() noexcept;

    /// Takes in a confirmed round; see FreshnessHistory::confirm().
    void confirm(TimePoint began, const Mark &bound);

    /// Marks a member as suspect (its connections fail or are silent) or clears the suspicion.
    void setSuspect(const MemberName &member, bool suspect);

    /// Takes in the measured time of one exchange with a member without its execution time.
    void setRoundTrip(const MemberName &member, Microseconds roundTrip);

    /// Takes in how many requests this proxy has at the member and how many may run at once.
    void setLoad(const MemberName &member, std::uint32_t inFlight, std::uint32_t slots);

    /// The next step of \a plan.
    [[nodiscard]] ReadStep route(ReadPlan &plan, TimePoint now);

    /// Judges the \a mark of a member's reply; true when it is fresh enough.
    ///
    /// Before it is answered, a majority must be known to hold \a mark too, or a promotion may drop what the read saw.
    /// A stale reply raises the estimate of that member's lag, and the plan asks it no more.
    [[nodiscard]] bool verify(ReadPlan &plan, const MemberName &member, const Mark &mark, TimePoint now);

    /// Takes in that \a member gave no usable reply; the plan asks it no more.
    void failed(ReadPlan &plan, const MemberName &member);

    /// When \a mark, held by the primary, is expected to be held and reported by a majority.
    ///
    /// Returns nothing when too few replicas are usable to make up a majority. A write that waits for coverage is told this time;
    /// see WriteAttempt::coverageExpected().
    [[nodiscard]] std::optional<TimePoint> coverageExpected(const Mark &mark, TimePoint now) const;

    /// The greatest log mark in any report.
    [[nodiscard]] const Mark &highestSeen() const noexcept
    {
        return highestSeen_;
    }

    [[nodiscard]] const FreshnessHistory &history() const noexcept
    {
        return history_;
    }

private:
    struct Member {
        MemberName name;
        bool listed = true;
        bool known = false;
        bool leaving = false;
        bool suspect = false;
        /// Last entry known to be in its log, and when that was learned.
        Mark mark;
        TimePoint seenAt;
        /// Time between the primary's and this member's reaching a mark.
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
    [[nodiscard]] std::optional<ReadStep> settleRequired(ReadPlan &plan, TimePoint now) const;
    [[nodiscard]] std::optional<Candidate> bestReplica(const ReadPlan &plan, TimePoint now) const;
    [[nodiscard]] std::optional<Candidate> primaryCandidate(const ReadPlan &plan, TimePoint now) const;
    [[nodiscard]] std::optional<TimePoint> waitForReplica(ReadPlan &plan, TimePoint now) const;
    [[nodiscard]] GiveUpRead giveUp(const ReadPlan &plan, TimePoint now) const;
    [[nodiscard]] bool usable(std::size_t index, const ReadPlan &plan, TimePoint now) const noexcept;
    [[nodiscard]] TimePoint expectedAt(const Member &member, const Mark &wanted, TimePoint now) const noexcept;
    [[nodiscard]] Microseconds costOf(const Member &member) const noexcept;
    void learnMark(Member &member, const Mark &mark, TimePoint now);
    void learnPrimaryMark(const Mark &mark, TimePoint now);

    ReadRouterLimits limits_;
    FreshnessHistory history_;
    /// Invariant: at most maxMembers, each name once.
    std::vector<Member> members_;
    /// Index of the primary; maxMembers when it is not known.
    std::size_t primary_ = maxMembers;
    /// When the primary was first seen at each mark.
    impl::TimedMarks primaryMarks_;
    Mark highestSeen_;
};

} // namespace cardamomstep
