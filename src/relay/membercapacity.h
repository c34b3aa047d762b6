// Estimates how fast and how reliably the members of one group serve statements, and divides reads among them.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "relay/message.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace cardamomstep::relay {

/// Statements of similar work: the database name, and whether they write.
using WorkClass = std::pair<DatabaseName, bool>;

/// Settings of the estimate.
struct MemberCapacityTerms {
    /// Share of the reads that an avoided member keeps getting, so that its recovery is noticed.
    double probeShare = 0.02;
    /// What a failed read costs its caller: the whole operation, which is about a latency objective.
    Microseconds failureCost{200'000};
    /// A member is avoided while its share of failed statements exceeds the group's lowest by this much ...
    double avoidFrom = 0.2;
    /// ... until it exceeds it by less than this.
    double avoidUntil = 0.1;
    /// Bounds of the number of statements in flight at one member.
    double minInFlight = 2;
    double maxInFlight = 64;
    double initialInFlight = 16;
};

/// What keeps a member from serving as fast as the group's fastest.
enum class MemberCondition : std::uint8_t {
    Normal,
    Slow, ///< Its statements take long although it refuses none.
    Full, ///< It refused statements because its queue was full.
    Failing, ///< It is avoided because it fails statements.
};

/// Returns the name of \a condition in logs and metrics.
[[nodiscard]] std::string_view nameOf(MemberCondition condition) noexcept;

/// What one proxy observed of a member since its last report.
struct MemberReport {
    MemberName member;
    std::uint32_t timed = 0;
    /// Sum of the relative times: reply times, each divided by the time that its work class usually takes.
    double relativeTimes = 0;
    /// The lowest and the highest of them.
    double fastest = 0;
    double slowest = 0;
    /// The lowest ratio of a relative time to the mean as of the last report; above 1 if all were slower than expected then.
    double lowestChange = 0;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
};

/// A member that may serve a read.
struct ReadCandidate {
    const MemberName *member = nullptr;
    /// Statements of this proxy that the member has not replied to.
    std::uint32_t inFlight = 0;
    /// Cost that is not learned: that of taking a slot of the primary.
    Microseconds extraCost{0};
};

/// The learned state of one group's members, from this proxy's statements and from the reports of other proxies.
///
/// Reply times are compared within a work class, so that members with different work are comparable. Reads are divided in inverse
/// proportion to the expected cost instead of going to the cheapest member: proxies that react to the same observation would otherwise all
/// move to the same member.
class MemberCapacity
{
public:
    explicit MemberCapacity(const MemberCapacityTerms &terms = {}) noexcept
        : terms_(terms)
    {
    }

    /// Records a successful reply after \a time; \a inFlight other statements of this proxy were at the member when it was sent.
    void replied(const MemberName &member, const WorkClass &work, Microseconds time, std::uint32_t inFlight, TimePoint now);
    /// Records that the member refused a statement because its queue was full.
    void refused(const MemberName &member, TimePoint now);
    /// Records a statement that the member failed, or whose connection broke.
    void failed(const MemberName &member, TimePoint now);
    /// Records that a statement has had no reply for \a time.
    void silent(const MemberName &member, const WorkClass &work, Microseconds time, TimePoint now);
    /// Forgets the member; it was restarted or is no longer listed.
    void forget(const MemberName &member);

    /// Returns the index of the candidate that a read is sent to. \a candidates must not be empty.
    [[nodiscard]] std::size_t choose(std::span<const ReadCandidate> candidates, Random &random, TimePoint now) const;

    /// Returns the expected time of one more read at the member, failures included.
    [[nodiscard]] Microseconds expectedCost(const MemberName &member, std::uint32_t inFlight) const;
    /// Returns how many statements this proxy should have in flight at the member.
    [[nodiscard]] std::uint32_t inFlightLimit(const MemberName &member) const;
    /// Returns the member's speed relative to the fastest of the group, from 0 to 1; 0 if it is avoided.
    [[nodiscard]] double relativeCapacity(const MemberName &member) const;
    [[nodiscard]] MemberCondition condition(const MemberName &member, TimePoint now) const;
    [[nodiscard]] bool avoided(const MemberName &member) const;

    /// Returns what was observed since the last call, for other proxies.
    [[nodiscard]] std::vector<MemberReport> takeReports();
    /// Adds the observations of other proxies.
    ///
    /// Reply times of another failure domain are not comparable, but they confirm a slowdown that this one begins to see.
    void merge(std::span<const MemberReport> reports, bool sameDomain, TimePoint now);

private:
    struct Member {
        /// Reply time without further statements in flight, divided by the usual time of the work class.
        double slowness = 1;
        std::uint32_t samples = 0;
        TimePoint observedAt;
        /// Consecutive samples that were all much slower, or all much faster, than expected, and the sum of their relative times.
        std::uint32_t slowRun = 0;
        std::uint32_t fastRun = 0;
        double runTimes = 0;
        /// Such slow samples of other failure domains, and when they were last reported.
        std::uint32_t remoteSlow = 0;
        TimePoint remoteSlowAt;
        double failureShare = 0;
        bool avoided = false;
        /// Sums of a regression of the reply time on the number of other statements in flight.
        double inFlightSquares = 4;
        double inFlightTimes = 1;
        double inFlightLimit = 0;
        TimePoint limitReducedAt;
        TimePoint refusedAt;
        MemberReport unreported;
        /// The mean as of the last report.
        double reportedSlowness = 1;

        [[nodiscard]] double growth() const noexcept;
    };

    struct WorkTime {
        double mean = 0;
        std::uint32_t samples = 0;
    };

    [[nodiscard]] Member &state(const MemberName &name);
    [[nodiscard]] const Member *find(const MemberName &name) const;
    [[nodiscard]] double usualTime() const;
    /// A number of relative times of one member.
    struct Times {
        std::uint32_t count = 0;
        double mean = 0;
        double fastest = 0;
        double slowest = 0;
    };

    void observeTimes(Member &member, const Times &times, TimePoint now) const;
    [[nodiscard]] bool jump(Member &member, TimePoint now) const;
    /// Records one relative time of this proxy's own.
    void observeOwnTime(Member &member, double relativeTime, TimePoint now) const;
    void observeOutcome(Member &member, bool success, TimePoint now) const;
    void reduceLimit(Member &member, TimePoint now) const;
    [[nodiscard]] double lowestFailureShare() const;
    /// Returns true if no other proxy's observations arrived recently, so that the few of this proxy's own have to do.
    [[nodiscard]] bool alone(TimePoint now) const noexcept;

    MemberCapacityTerms terms_;
    std::map<MemberName, Member> members_;
    std::map<WorkClass, WorkTime> workTimes_;
    TimePoint mergedAt_;
};

} // namespace cardamomstep::relay
