// Routing of reads by freshness.
#include "sessions/readrouter.h"

#include "sessions/token.h"

#include <algorithm>

namespace cardamomstep {

namespace {

/// Greater accepted ages are treated as this one.
constexpr Milliseconds maxAcceptedAge = std::chrono::hours{24};
/// The retry-after of reads for which no member was fresh enough or no primary was known.
constexpr Milliseconds retryAfterNotFresh{50};
/// The shortest wait for a replica before the read is routed again.
constexpr Microseconds minReplicaWait{1'000};
/// Deviations above a member's mean lag after which it is expected to have a log position.
constexpr double lagMargin = 2;
/// A stale reply raises the lag estimate to the lag that it proves plus this fraction (1/N) of it.
constexpr int staleLagRaiseDivisor = 4;

std::uint32_t bitOf(std::size_t index)
{
    return std::uint32_t{1} << index;
}

} // namespace

void ReadRouter::setMembers(const std::vector<MemberName> &members)
{
    for (auto &member : members_) {
        member.listed = std::find(members.begin(), members.end(), member.name) != members.end();
    }
    for (const auto &name : members) {
        if (find(name) == nullptr) {
            add(name);
        }
    }
}

void ReadRouter::add(const MemberName &name)
{
    const auto unlisted = std::find_if(members_.begin(), members_.end(), [](const Member &member) { return !member.listed; });
    if (unlisted != members_.end()) {
        const auto index = static_cast<std::size_t>(unlisted - members_.begin());
        primary_ = index == primary_ ? maxMembers : primary_;
        *unlisted = Member{};
        unlisted->name = name;
    } else if (members_.size() < maxMembers) {
        members_.emplace_back();
        members_.back().name = name;
    }
}

void ReadRouter::report(const MemberReport &report, TimePoint now)
{
    auto *member = find(report.member);
    if (member == nullptr || (member->positionKnown && now < member->positionObservedAt)) {
        return;
    }
    member->leaving = report.leaving;
    if (indexOf(report.member) == primary_) {
        recordPrimaryPosition(report.log, now);
    }
    recordPosition(*member, report.log, now);
}

void ReadRouter::setPrimary(const MemberName &primary)
{
    primary_ = indexOf(primary);
}

void ReadRouter::clearPrimary() noexcept
{
    primary_ = maxMembers;
}

void ReadRouter::confirm(TimePoint roundStart, const LogPosition &bound)
{
    history_.confirm(roundStart, bound);
    recordPrimaryPosition(bound, roundStart);
    highestReported_ = std::max(highestReported_, bound);
}

void ReadRouter::setSuspect(const MemberName &member, bool suspect)
{
    if (auto *found = find(member)) {
        found->suspect = suspect;
    }
}

void ReadRouter::setRoundTrip(const MemberName &member, Microseconds roundTrip)
{
    if (auto *found = find(member)) {
        found->roundTrip = roundTrip;
    }
}

void ReadRouter::setLoad(const MemberName &member, std::uint32_t inFlight, std::uint32_t slots)
{
    if (auto *found = find(member)) {
        found->inFlight = inFlight;
        found->slots = slots;
    }
}

ReadStep ReadRouter::route(ReadPlan &plan, TimePoint now)
{
    if (now >= plan.requirements_.deadline) {
        return giveUp(plan, now);
    }
    if (auto step = resolveRequired(plan, now)) {
        return *std::move(step);
    }
    const auto replica = bestReplica(plan, now);
    const auto primary = primaryCandidate(plan, now);
    if (replica && (!primary || replica->cost < primary->cost)) {
        return ReadFromMember{members_[replica->index].name, false, *plan.required_};
    }
    if (!replica) {
        if (const auto until = waitForReplica(plan, now)) {
            return AwaitReplica{*until};
        }
    }
    if (primary) {
        return ReadFromMember{members_[primary->index].name, true, *plan.required_};
    }
    return giveUp(plan, now);
}

bool ReadRouter::verify(ReadPlan &plan, const MemberName &member, const LogPosition &position, TimePoint now)
{
    auto *found = find(member);
    const bool fresh = plan.required_ && position >= *plan.required_;
    if (found == nullptr) {
        return fresh;
    }
    if (fresh) {
        if (position > found->position) {
            recordPosition(*found, position, now);
        }
        return true;
    }
    plan.staleMembers_ |= bitOf(indexOf(member));
    found->position = position;
    found->positionObservedAt = now;
    if (plan.required_) {
        const auto primaryReachedAt = primaryPositions_.timeOf(*plan.required_).value_or(now);
        const auto provenLag = now - found->roundTrip / 2 - primaryReachedAt;
        found->lag.raiseTo(provenLag + provenLag / staleLagRaiseDivisor);
    }
    return false;
}

void ReadRouter::onReadFailed(ReadPlan &plan, const MemberName &member)
{
    const auto index = indexOf(member);
    if (index < members_.size()) {
        plan.failedMembers_ |= bitOf(index);
    }
}

std::optional<TimePoint> ReadRouter::replicationExpected(const LogPosition &position, TimePoint now) const
{
    std::vector<TimePoint> expected;
    for (std::size_t index = 0; index < members_.size(); ++index) {
        const auto &member = members_[index];
        if (index == primary_ || !member.positionKnown || !member.listed || member.suspect) {
            continue;
        }
        const bool reached = member.position >= position;
        expected.push_back(reached ? now : expectedAt(member, position, now) + member.roundTrip / 2);
    }
    const auto listed = std::count_if(members_.begin(), members_.end(), [](const Member &member) { return member.listed; });
    const auto replicasNeeded = static_cast<std::size_t>(listed) / 2;
    if (replicasNeeded == 0) {
        return now;
    }
    if (expected.size() < replicasNeeded) {
        return std::nullopt;
    }
    std::sort(expected.begin(), expected.end());
    return std::max(now, expected[replicasNeeded - 1]);
}

ReadRouter::Member *ReadRouter::find(const MemberName &name) noexcept
{
    const auto index = indexOf(name);
    return index < members_.size() ? &members_[index] : nullptr;
}

std::size_t ReadRouter::indexOf(const MemberName &name) const noexcept
{
    for (std::size_t index = 0; index < members_.size(); ++index) {
        if (members_[index].name == name) {
            return index;
        }
    }
    return maxMembers;
}

std::optional<ReadStep> ReadRouter::resolveRequired(ReadPlan &plan, TimePoint /*now*/) const
{
    if (plan.required_) {
        return std::nullopt;
    }
    const auto &requirements = plan.requirements_;
    const auto confirmed = history_.positionCovering(requirements.arrived);
    if (requirements.sessionPosition) {
        const auto standing = checkAgainst(*requirements.sessionPosition, highestReported_, confirmed);
        if (standing == TokenStanding::Unproven) {
            return CollectReports{};
        }
        if (standing == TokenStanding::Ahead) {
            return GiveUpRead{Error{ErrorKind::TokenAhead,
                                    "the session token names " + toText(*requirements.sessionPosition) + ", beyond the group's log"}};
        }
    }
    const auto age = std::min(requirements.acceptedAge.value_or(Milliseconds{0}), maxAcceptedAge);
    const auto covering = history_.positionCovering(requirements.arrived - age);
    if (!covering) {
        return CollectReports{};
    }
    plan.required_ = std::max(*covering, requirements.sessionPosition.value_or(LogPosition{}));
    return std::nullopt;
}

bool ReadRouter::usable(std::size_t index, const ReadPlan &plan, TimePoint now) const noexcept
{
    const auto &member = members_[index];
    const bool inTime = now + member.roundTrip < plan.requirements_.deadline;
    return member.positionKnown && member.listed && !member.leaving && !member.suspect && inTime
        && (plan.failedMembers_ & bitOf(index)) == 0;
}

std::optional<ReadRouter::Candidate> ReadRouter::bestReplica(const ReadPlan &plan, TimePoint now) const
{
    std::optional<Candidate> best;
    for (std::size_t index = 0; index < members_.size(); ++index) {
        if (index == primary_ || !usable(index, plan, now)) {
            continue;
        }
        const auto &member = members_[index];
        auto cost = costOf(member);
        if (member.position < *plan.required_) {
            const bool likelyFresh = expectedAt(member, *plan.required_, now) <= now + member.roundTrip / 2;
            if (!likelyFresh || (plan.staleMembers_ & bitOf(index)) != 0) {
                continue;
            }
            cost += limits_.stalePenalty;
        }
        if (!best || cost < best->cost) {
            best = Candidate{index, cost};
        }
    }
    return best;
}

std::optional<ReadRouter::Candidate> ReadRouter::primaryCandidate(const ReadPlan &plan, TimePoint now) const
{
    if (primary_ >= members_.size() || !usable(primary_, plan, now) || (plan.staleMembers_ & bitOf(primary_)) != 0) {
        return std::nullopt;
    }
    return Candidate{primary_, costOf(members_[primary_]) + limits_.primaryPenalty};
}

std::optional<TimePoint> ReadRouter::waitForReplica(ReadPlan &plan, TimePoint now) const
{
    const auto waitEnd = plan.waitEnd_.value_or(now + limits_.maxReplicaWait);
    const auto reserve = primary_ < members_.size() ? 2 * members_[primary_].roundTrip : Microseconds{0};
    if (now >= waitEnd || waitEnd + reserve >= plan.requirements_.deadline) {
        return std::nullopt;
    }
    std::optional<TimePoint> earliest;
    for (std::size_t index = 0; index < members_.size(); ++index) {
        if (index == primary_ || !usable(index, plan, now)) {
            continue;
        }
        const auto expected =
            std::max(expectedAt(members_[index], *plan.required_, now), now + std::max(minReplicaWait, members_[index].roundTrip / 2));
        if (expected <= waitEnd && (!earliest || expected < *earliest)) {
            earliest = expected;
        }
    }
    if (earliest) {
        plan.waitEnd_ = waitEnd;
    }
    return earliest;
}

GiveUpRead ReadRouter::giveUp(const ReadPlan &plan, TimePoint now) const
{
    if (now + limits_.stalePenalty >= plan.requirements_.deadline) {
        return GiveUpRead{
            Error{ErrorKind::WindowTooShort, "the read's window ended before a fresh reply arrived"}.withRetryAfter(retryAfterNotFresh)};
    }
    if (primary_ >= members_.size()) {
        return GiveUpRead{
            Error{ErrorKind::NoPrimary, "no replica is fresh enough and there is no primary"}.withRetryAfter(retryAfterNotFresh)};
    }
    return GiveUpRead{Error{ErrorKind::NotFresh, "no member returned a fresh reply"}.withRetryAfter(retryAfterNotFresh)};
}

TimePoint ReadRouter::expectedAt(const Member &member, const LogPosition &wanted, TimePoint now) const noexcept
{
    const auto primaryReachedAt = primaryPositions_.timeOf(wanted).value_or(now);
    const auto typical = primaryReachedAt + member.lag.withMargin(lagMargin);
    if (typical >= member.positionObservedAt) {
        return typical;
    }
    // The member is overdue: the longer it has been overdue, the longer it is likely to remain so.
    return member.positionObservedAt + (member.positionObservedAt - typical) / 2 + member.roundTrip;
}

Microseconds ReadRouter::costOf(const Member &member) const noexcept
{
    const auto requestsAhead = member.inFlight < member.slots ? 0U : member.inFlight - member.slots + 1;
    return member.roundTrip + requestsAhead * limits_.queuePenalty;
}

void ReadRouter::recordPosition(Member &member, const LogPosition &position, TimePoint now)
{
    if (member.positionKnown && position > member.position) {
        const auto primaryReachedAt = primaryPositions_.timeOf(position).value_or(now);
        member.lag.observe(std::max(Microseconds{0}, now - primaryReachedAt));
    }
    member.positionKnown = true;
    member.position = position;
    member.positionObservedAt = now;
    highestReported_ = std::max(highestReported_, position);
}

void ReadRouter::recordPrimaryPosition(const LogPosition &position, TimePoint now)
{
    if (primaryPositions_.size() == 0 || (position > primaryPositions_.last().position && now >= primaryPositions_.last().time)) {
        primaryPositions_.append(now, position);
    }
}

} // namespace cardamomstep
