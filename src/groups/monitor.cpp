// Inputs and queries of the group monitor.
#include "groups/monitor.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

/// An input that arrives later than its due time by more than this indicates that this process itself was paused.
constexpr Milliseconds localPauseThreshold{20};
/// Time allowed, after a pause of this process, for handling the replies received meanwhile.
constexpr Milliseconds localPauseGrace{10};
/// Pauses of this process of at least this length are recorded as events.
constexpr Milliseconds recordedLocalPause{100};

std::vector<MemberTracker> trackersFor(const std::vector<GroupMember> &members, TimePoint now)
{
    std::vector<MemberTracker> trackers;
    trackers.reserve(members.size());
    for (const auto &member : members) {
        trackers.emplace_back(member.name, now);
    }
    return trackers;
}

} // namespace

GroupMonitor::GroupMonitor(std::vector<GroupMember> members, unsigned rank, const GroupPolicy &policy, std::uint64_t seed, TimePoint now)
    : members_(std::move(members))
    , trackers_(trackersFor(members_, now))
    , rank_(rank)
    , policy_(policy)
    , random_(seed)
    , peerAttemptUntil_(now)
    , peersQueriedAt_(now)
    , lastDiscountedAt_(now)
    , attemptAllowedAt_(now)
    , backOffUntil_(now)
    , switchoverAllowedAt_(now)
    , wake_(now)
{
}

GroupActions GroupMonitor::tick(TimePoint now)
{
    beginInput(now);
    return finishInput(now);
}

GroupActions GroupMonitor::onReport(const MemberName &member, const MemberReport &report, TimePoint sentAt, TimePoint now)
{
    beginInput(now);
    if (auto *tracker = find(member)) {
        const bool premature = now - sentAt < policy_.reportWait(mayBePrimary(member)) && !tracker->reportAtOnce();
        const bool unchanged = tracker->report() == report;
        tracker->reportEnded(premature && unchanged ? now + policy_.idleReportGap : now);
        applyReport(*tracker, report, sentAt, now);
    }
    return finishInput(now);
}

GroupActions GroupMonitor::onConnectionFailure(const MemberName &member, const ConnectionFailure &failure, TimePoint now)
{
    beginInput(now);
    if (auto *tracker = find(member)) {
        tracker->reportEnded(tracker->onFailure(failure, policy_, now));
    }
    return finishInput(now);
}

GroupActions GroupMonitor::onOrderReply(
    const MemberName &member, OrderKind kind, const Term &term, const TermReply &reply, TimePoint sentAt, TimePoint now)
{
    beginInput(now);
    if (auto *tracker = find(member)) {
        if (tracker->order() == OutstandingOrder{kind, term}) {
            tracker->orderEnded(reply.accepted ? now : now + policy_.orderRetry);
        }
        if (kind == OrderKind::Follow && reply.accepted) {
            tracker->followAccepted(term);
        }
        applyReport(*tracker, reply.report, sentAt, now);
    }
    return finishInput(now);
}

GroupActions
GroupMonitor::onOrderFailure(const MemberName &member, OrderKind kind, const Term &term, const ConnectionFailure &failure, TimePoint now)
{
    beginInput(now);
    if (auto *tracker = find(member)) {
        if (tracker->order() == OutstandingOrder{kind, term}) {
            tracker->orderEnded(now + policy_.orderRetry);
        }
        tracker->onFailure(failure, policy_, now);
    }
    return finishInput(now);
}

GroupActions GroupMonitor::onPeerObservation(const InstanceName &peer, const PeerObservation &observation, TimePoint now)
{
    beginInput(now);
    peerObservations_.onObservation(peer, observation, now);
    observeTerm(observation.highest, now);
    return finishInput(now);
}

GroupActions GroupMonitor::onStatementEvidence(const MemberName &member, TimePoint now)
{
    beginInput(now);
    if (auto *tracker = find(member)) {
        tracker->onContact(now);
    }
    return finishInput(now);
}

GroupActions GroupMonitor::setRank(unsigned rank, TimePoint now)
{
    beginInput(now);
    rank_ = rank;
    return finishInput(now);
}

GroupActions GroupMonitor::setMembers(std::vector<GroupMember> members, TimePoint now)
{
    beginInput(now);
    auto trackers = trackersFor(members, now);
    for (auto &tracker : trackers) {
        if (auto *known = find(tracker.name())) {
            tracker = std::move(*known);
        }
    }
    members_ = std::move(members);
    trackers_ = std::move(trackers);
    if (promotion_) {
        abandonPromotion(now);
    }
    return finishInput(now);
}

GroupActions GroupMonitor::setPolicy(const GroupPolicy &policy, TimePoint now)
{
    beginInput(now);
    policy_ = policy;
    return finishInput(now);
}

GroupActions GroupMonitor::requestSwitchover(const MemberName &leaving, TimePoint now)
{
    beginInput(now);
    if (leaving.empty() || find(leaving) != nullptr) {
        requestedLeaving_ = leaving;
    }
    return finishInput(now);
}

GroupActions GroupMonitor::onPeerWritePause(TimePoint until, TimePoint now)
{
    beginInput(now);
    switchoverAllowedAt_ = std::max(switchoverAllowedAt_, until + policy_.switchoverRetry + rank_ * policy_.holdLimit);
    return finishInput(now);
}

TimePoint GroupMonitor::nextWake() const noexcept
{
    return wake_;
}

std::optional<PrimaryInfo> GroupMonitor::primary() const
{
    auto info = primary_;
    if (info) {
        info->suspected = trigger_.has_value();
    }
    return info;
}

PeerObservation GroupMonitor::observation(TimePoint now) const
{
    PeerObservation observation;
    observation.highest = highest_;
    if (!primary_) {
        return observation;
    }
    const auto *tracker = find(primary_->member);
    observation.primary = primary_->member;
    observation.term = primary_->term;
    observation.log = tracker->report()->log;
    observation.contactAge = wholeMilliseconds(now - tracker->lastContactAt());
    return observation;
}

std::optional<MemberReport> GroupMonitor::lastReport(const MemberName &member) const
{
    const auto *tracker = find(member);
    return tracker == nullptr ? std::nullopt : tracker->report();
}

std::optional<Microseconds> GroupMonitor::contactAge(const MemberName &member, TimePoint now) const
{
    const auto *tracker = find(member);
    if (tracker == nullptr || !tracker->everContacted()) {
        return std::nullopt;
    }
    return now - tracker->lastContactAt();
}

bool GroupMonitor::promoting() const noexcept
{
    return promotion_.has_value();
}

const std::vector<GroupMember> &GroupMonitor::members() const noexcept
{
    return members_;
}

void GroupMonitor::beginInput(TimePoint now)
{
    actions_.clear();
    discountLocalPause(now);
}

GroupActions GroupMonitor::finishInput(TimePoint now)
{
    refreshPrimary(now);
    confirmPrimary();
    refreshReplication(now);
    advancePromotion(now);
    refreshTrigger(now);
    advanceSwitchover(now);
    queryPeers(now);
    redirectMembers(now);
    sendReports(now);
    planWake(now);
    return std::exchange(actions_, {});
}

// While this process is paused it has no contact with any member, which says nothing about the members. At most one
// pause per silence bound is discounted, so that a process whose inputs are always late still detects failures.
void GroupMonitor::discountLocalPause(TimePoint now)
{
    const auto lateness = now - wake_;
    if (lateness <= localPauseThreshold || now - lastDiscountedAt_ < policy_.silenceBound) {
        return;
    }
    lastDiscountedAt_ = now;
    for (auto &tracker : trackers_) {
        tracker.discountPause(lateness + localPauseGrace, now);
    }
    if (lateness >= recordedLocalPause) {
        recordEvent(AuditEventKind::LocalPause, MemberName{}, Term{});
    }
}

void GroupMonitor::applyReport(MemberTracker &tracker, const MemberReport &report, TimePoint sentAt, TimePoint now)
{
    tracker.onState(report, sentAt, now);
    observeTerm(report.adopted, now);
    observeTerm(report.log.term, now);
    if (promotion_) {
        promotion_->onAdopted(report);
    }
}

void GroupMonitor::observeTerm(const Term &term, TimePoint now)
{
    if (term <= highest_) {
        return;
    }
    highest_ = term;
    peerAttemptUntil_ = now + policy_.attemptPatience + rankDelay();
}

void GroupMonitor::recordEvent(AuditEventKind kind, const MemberName &member, const Term &term, PromotionReason reason)
{
    actions_.emplace_back(AuditEvent{kind, member, term, reason});
}

MemberTracker *GroupMonitor::find(const MemberName &member) noexcept
{
    const auto found =
        std::find_if(trackers_.begin(), trackers_.end(), [&](const MemberTracker &tracker) { return tracker.name() == member; });
    return found == trackers_.end() ? nullptr : &*found;
}

const MemberTracker *GroupMonitor::find(const MemberName &member) const noexcept
{
    const auto found =
        std::find_if(trackers_.begin(), trackers_.end(), [&](const MemberTracker &tracker) { return tracker.name() == member; });
    return found == trackers_.end() ? nullptr : &*found;
}

std::size_t GroupMonitor::majority() const noexcept
{
    return majorityOf(trackers_.size());
}

bool GroupMonitor::mayBePrimary(const MemberName &member) const noexcept
{
    return !primary_ || primary_->member == member;
}

bool GroupMonitor::silent(const MemberTracker &tracker, TimePoint now) const noexcept
{
    return tracker.silent(policy_, mayBePrimary(tracker.name()), now);
}

bool GroupMonitor::reachable(const MemberTracker &tracker, TimePoint now) const noexcept
{
    return tracker.report() && !tracker.isDown() && !silent(tracker, now);
}

} // namespace cardamomstep
