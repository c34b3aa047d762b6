// The estimate of members' speed and failures, and the division of reads by it.
#include "relay/membercapacity.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cardamomstep::relay {

namespace {

/// Bounds of a relative reply time; one reply that took very long says no more than that.
constexpr double minRelativeTime = 0.1;
constexpr double maxRelativeTime = 20;
/// The relative time that a refusal stands for: the member's queue holds eight statements for each slot.
constexpr double refusalRelativeTime = 9;
/// Share of a sample in the mean while the member's speed is steady.
constexpr double steadyGain = 1.0 / 24;
constexpr double aloneSteadyGain = 1.0 / 12;
/// Without reports for this long, a proxy relies on its own observations.
constexpr Milliseconds aloneAfter{1'000};
/// Exponents of the cost in the division of reads. Proxies that share what they observe divide in inverse proportion; those that do not
/// react at different times, so that each may prefer the cheaper member more.
constexpr double sharedExponent = 1;
constexpr double aloneExponent = 4;
/// The mean needs at least this time to follow, however many samples there are: a faster one made reads oscillate at a high load.
constexpr Milliseconds steadyTime{3'000};
/// Samples after which a member's mean is no longer the plain mean of all.
constexpr std::uint32_t learningSamples = 8;
/// The speed has changed when this many samples in a row differ from the mean by more than the factor.
constexpr std::uint32_t runLength = 3;
constexpr std::uint32_t aloneRunLength = 2;
constexpr double changeFactor = 2;
/// Slow samples of other failure domains replace at most this many of the run, and only while they are recent.
constexpr std::uint32_t maxRemoteEvidence = 2;
constexpr Milliseconds remoteEvidencePeriod{750};
constexpr double failureGain = 1.0 / 10;
/// Alone, two failures in a row must do.
constexpr double aloneFailureGain = 1.0 / 5;
/// An avoided member gets few statements, so each counts more.
constexpr double avoidedFailureGain = 1.0 / 4;
constexpr double workGain = 1.0 / 64;
constexpr double regressionDecay = 63.0 / 64;
/// Outcomes of one report that are applied; further ones add nothing.
constexpr std::uint32_t maxMergedOutcomes = 16;
constexpr Milliseconds limitReductionInterval{200};
constexpr Milliseconds fullPeriod{1'000};
/// A member is slow if its statements take this many times as long as those of the group's fastest.
constexpr double slowFactor = 2;
/// Relative time from which a statement reduces the number in flight.
constexpr double congestedTime = 3;
/// The usual time of a statement before any was measured.
constexpr double initialWorkTime = 25'000;

} // namespace

std::string_view nameOf(MemberCondition condition) noexcept
{
    switch (condition) {
    case MemberCondition::Slow:
        return "slow";
    case MemberCondition::Full:
        return "full";
    case MemberCondition::Failing:
        return "failing";
    case MemberCondition::Normal:
        break;
    }
    return "normal";
}

double MemberCapacity::Member::growth() const noexcept
{
    return std::clamp(inFlightTimes / inFlightSquares, 0.0, 1.0);
}

MemberCapacity::Member &MemberCapacity::state(const MemberName &name)
{
    auto &member = members_[name];
    if (member.inFlightLimit == 0) {
        member.inFlightLimit = terms_.initialInFlight;
        member.unreported.member = name;
    }
    return member;
}

const MemberCapacity::Member *MemberCapacity::find(const MemberName &name) const
{
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second;
}

/// Returns the mean time of the work classes, weighted by how often they were seen.
double MemberCapacity::usualTime() const
{
    double sum = 0;
    double samples = 0;
    for (const auto &[work, time] : workTimes_) {
        sum += time.mean * time.samples;
        samples += time.samples;
    }
    return samples == 0 ? initialWorkTime : sum / samples;
}

void MemberCapacity::replied(const MemberName &name, const WorkClass &work, Microseconds time, std::uint32_t inFlight, TimePoint now)
{
    auto &member = state(name);
    auto &usual = workTimes_[work];
    const auto measured = static_cast<double>(time.count());
    const auto others = static_cast<double>(inFlight);
    const auto alone = measured / (1 + member.growth() * others);
    usual.samples = std::min(usual.samples + 1, 1U << 16U);
    usual.mean += std::max(workGain, 1.0 / usual.samples) * (alone / member.slowness - usual.mean);
    const auto relativeTime = std::clamp(alone / std::max(usual.mean, 1.0), minRelativeTime, maxRelativeTime);
    if (inFlight > 0) {
        const auto excess = measured / std::max(usual.mean * member.slowness, 1.0) - 1;
        member.inFlightSquares = member.inFlightSquares * regressionDecay + others * others;
        member.inFlightTimes = member.inFlightTimes * regressionDecay + others * std::clamp(excess, 0.0, others);
    }
    if (relativeTime >= congestedTime * member.slowness) {
        member.inFlightLimit = std::max(terms_.minInFlight, member.inFlightLimit - 1);
    } else {
        member.inFlightLimit = std::min(terms_.maxInFlight, member.inFlightLimit + 1 / member.inFlightLimit);
    }
    observeOwnTime(member, relativeTime, now);
    observeOutcome(member, true, now);
    ++member.unreported.succeeded;
}

void MemberCapacity::refused(const MemberName &name, TimePoint now)
{
    auto &member = state(name);
    member.refusedAt = now;
    reduceLimit(member, now);
    observeOwnTime(member, refusalRelativeTime, now);
}

void MemberCapacity::failed(const MemberName &name, TimePoint now)
{
    auto &member = state(name);
    reduceLimit(member, now);
    observeOutcome(member, false, now);
    ++member.unreported.failed;
}

void MemberCapacity::silent(const MemberName &name, const WorkClass &work, Microseconds time, TimePoint now)
{
    auto &member = state(name);
    const auto known = workTimes_.find(work);
    const auto usual = known == workTimes_.end() ? usualTime() : known->second.mean;
    const auto relativeTime = std::clamp(static_cast<double>(time.count()) / std::max(usual, 1.0), member.slowness, maxRelativeTime);
    reduceLimit(member, now);
    observeOwnTime(member, relativeTime, now);
}

void MemberCapacity::forget(const MemberName &name)
{
    members_.erase(name);
}

/// Updates the mean; jumps to the new speed after a run of times that all differ from the mean by more than a factor.
///
/// A queue at the member also makes replies slow, but then some are fast still; a mean that followed these at once, at many proxies,
/// would move the reads to and fro.
void MemberCapacity::observeTimes(Member &member, const Times &times, TimePoint now) const
{
    const auto sum = times.mean * times.count;
    const bool slow = times.fastest >= member.slowness * changeFactor;
    const bool fast = times.slowest <= member.slowness / changeFactor;
    if ((slow && member.slowRun == 0) || (fast && member.fastRun == 0)) {
        member.runTimes = 0;
    }
    member.slowRun = slow ? member.slowRun + times.count : 0;
    member.fastRun = fast ? member.fastRun + times.count : 0;
    member.runTimes += slow || fast ? sum : 0;
    const auto before = member.observedAt;
    member.samples = std::min(member.samples + times.count, 1U << 16U);
    member.observedAt = now;
    if (jump(member, now)) {
        return;
    }
    auto gain = 1 - std::pow(1 - (alone(now) ? aloneSteadyGain : steadyGain), times.count);
    if (member.samples > learningSamples) {
        gain = std::min(gain, static_cast<double>((now - before).count()) / static_cast<double>(Microseconds{steadyTime}.count()));
    } else {
        gain = std::max(gain, static_cast<double>(times.count) / (1 + member.samples));
    }
    member.slowness += gain * (times.mean - member.slowness);
}

/// Sets the mean to that of the current run if the run is long enough.
bool MemberCapacity::jump(Member &member, TimePoint now) const
{
    const auto needed = alone(now) ? aloneRunLength : runLength;
    const auto confirmed = now - member.remoteSlowAt < remoteEvidencePeriod ? std::min(member.remoteSlow, maxRemoteEvidence) : 0;
    const bool slow = member.slowRun > 0 && member.slowRun + confirmed >= needed;
    if (!slow && member.fastRun < needed) {
        return false;
    }
    member.slowness = member.runTimes / (slow ? member.slowRun : member.fastRun);
    member.slowRun = 0;
    member.fastRun = 0;
    return true;
}

void MemberCapacity::observeOwnTime(Member &member, double relativeTime, TimePoint now) const
{
    auto &report = member.unreported;
    const auto change = relativeTime / member.reportedSlowness;
    report.fastest = report.timed == 0 ? relativeTime : std::min(report.fastest, relativeTime);
    report.slowest = std::max(report.slowest, relativeTime);
    report.lowestChange = report.timed == 0 ? change : std::min(report.lowestChange, change);
    ++report.timed;
    report.relativeTimes += relativeTime;
    observeTimes(member, {1, relativeTime, relativeTime, relativeTime}, now);
}

void MemberCapacity::observeOutcome(Member &member, bool success, TimePoint now) const
{
    const auto gain = member.avoided ? avoidedFailureGain : alone(now) ? aloneFailureGain : failureGain;
    member.failureShare += gain * ((success ? 0.0 : 1.0) - member.failureShare);
    // Statements that fail everywhere are not the member's fault.
    const auto excess = member.failureShare - lowestFailureShare();
    member.avoided = excess > (member.avoided ? terms_.avoidUntil : terms_.avoidFrom);
}

/// Halves the number of statements in flight, once for each burst of bad replies.
void MemberCapacity::reduceLimit(Member &member, TimePoint now) const
{
    if (member.limitReducedAt != TimePoint{} && now - member.limitReducedAt < limitReductionInterval) {
        return;
    }
    member.limitReducedAt = now;
    member.inFlightLimit = std::max(terms_.minInFlight, member.inFlightLimit / 2);
}

bool MemberCapacity::alone(TimePoint now) const noexcept
{
    return mergedAt_ == TimePoint{} || now - mergedAt_ > aloneAfter;
}

double MemberCapacity::lowestFailureShare() const
{
    double lowest = 1;
    for (const auto &[name, member] : members_) {
        lowest = std::min(lowest, member.failureShare);
    }
    return members_.size() < 2 ? 0 : lowest;
}

Microseconds MemberCapacity::expectedCost(const MemberName &name, std::uint32_t inFlight) const
{
    static const Member unknown;
    const auto *found = find(name);
    const auto &member = found == nullptr ? unknown : *found;
    const auto time = usualTime() * member.slowness * (1 + member.growth() * inFlight);
    const auto failures = member.failureShare * static_cast<double>(terms_.failureCost.count());
    return Microseconds{static_cast<std::int64_t>(time + failures)};
}

std::uint32_t MemberCapacity::inFlightLimit(const MemberName &name) const
{
    const auto *member = find(name);
    return static_cast<std::uint32_t>(member == nullptr ? terms_.initialInFlight : member->inFlightLimit);
}

bool MemberCapacity::avoided(const MemberName &name) const
{
    const auto *member = find(name);
    return member != nullptr && member->avoided;
}

std::size_t MemberCapacity::choose(std::span<const ReadCandidate> candidates, Random &random, TimePoint now) const
{
    constexpr double resolution = 1 << 30;
    const auto exponent = alone(now) ? aloneExponent : sharedExponent;
    std::vector<double> weights(candidates.size(), 0);
    double sum = 0;
    // Members that have as much in flight as they should are used only if all have, and avoided ones only if all are.
    for (int pass = 0; pass < 3 && sum == 0; ++pass) {
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const auto &candidate = candidates[index];
            const bool full = candidate.inFlight >= inFlightLimit(*candidate.member);
            if ((pass < 2 && avoided(*candidate.member)) || (pass < 1 && full)) {
                continue;
            }
            const auto cost = expectedCost(*candidate.member, candidate.inFlight) + candidate.extraCost;
            weights[index] = std::pow(static_cast<double>(std::max<std::int64_t>(cost.count(), 1)), -exponent);
            sum += weights[index];
        }
    }
    double probes = 0;
    for (auto &weight : weights) {
        weight = std::max(weight / sum, terms_.probeShare);
        probes += weight;
    }
    auto drawn = static_cast<double>(random.below(static_cast<std::uint64_t>(resolution))) / resolution * probes;
    for (std::size_t index = 0; index + 1 < weights.size(); ++index) {
        if (drawn < weights[index]) {
            return index;
        }
        drawn -= weights[index];
    }
    return weights.size() - 1;
}

double MemberCapacity::relativeCapacity(const MemberName &name) const
{
    const auto *member = find(name);
    if (member == nullptr) {
        return 1;
    }
    auto fastest = std::numeric_limits<double>::max();
    for (const auto &[other, state] : members_) {
        fastest = std::min(fastest, state.slowness);
    }
    return member->avoided ? 0 : fastest / member->slowness;
}

MemberCondition MemberCapacity::condition(const MemberName &name, TimePoint now) const
{
    const auto *member = find(name);
    if (member == nullptr) {
        return MemberCondition::Normal;
    }
    if (member->avoided) {
        return MemberCondition::Failing;
    }
    if (member->refusedAt != TimePoint{} && now - member->refusedAt < fullPeriod) {
        return MemberCondition::Full;
    }
    return relativeCapacity(name) * slowFactor < 1 ? MemberCondition::Slow : MemberCondition::Normal;
}

std::vector<MemberReport> MemberCapacity::takeReports()
{
    std::vector<MemberReport> reports;
    for (auto &[name, member] : members_) {
        member.reportedSlowness = member.slowness;
        if (member.unreported.timed + member.unreported.succeeded + member.unreported.failed > 0) {
            reports.push_back(member.unreported);
            member.unreported = MemberReport{};
            member.unreported.member = name;
        }
    }
    return reports;
}

void MemberCapacity::merge(std::span<const MemberReport> reports, bool sameDomain, TimePoint now)
{
    mergedAt_ = reports.empty() ? mergedAt_ : now;
    for (const auto &report : reports) {
        auto &member = state(report.member);
        if (sameDomain && report.timed > 0) {
            observeTimes(member, {report.timed, report.relativeTimes / report.timed, report.fastest, report.slowest}, now);
        } else if (report.timed > 0 && report.lowestChange >= changeFactor) {
            member.remoteSlow = now - member.remoteSlowAt < remoteEvidencePeriod ? member.remoteSlow + report.timed : report.timed;
            member.remoteSlowAt = now;
            (void)jump(member, now);
        }
        // Failures and successes alternate, so that their order does not decide.
        double due = 0;
        const auto outcomes = report.succeeded + report.failed;
        for (std::uint32_t sample = 0; sample < std::min(outcomes, maxMergedOutcomes); ++sample) {
            due += static_cast<double>(report.failed) / outcomes;
            observeOutcome(member, due < 1, now);
            due -= due < 1 ? 0 : 1;
        }
    }
}

} // namespace cardamomstep::relay
