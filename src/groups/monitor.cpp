// Inputs and queries of the group monitor.
#include "groups/monitor.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

/// Lateness of a tick beyond which this process itself is taken to have stood still.
constexpr Milliseconds localPauseThreshold{20};
/// Time given to replies that wait in this process after a pause of its own.
constexpr Milliseconds localPauseGrace{10};
/// Own pauses from here on are worth a note.
constexpr Milliseconds recordedLocalPause{100};

std::vector<MemberWatch> watchesFor(const std::vector<GroupMember> &members, TimePoint now)
{
    std::vector<MemberWatch> watches;
    watches.reserve(members.size());
    for (const auto &member : members) {
        watches.emplace_back(member.name, now);
    }
    return watches;
}

} // namespace

GroupMonitor::GroupMonitor(std::vector<GroupMember> members, unsigned rank, const GroupPolicy &policy, std::uint64_t seed, TimePoint now)
    : members_(std::move(members))
    , watches_(watchesFor(members_, now))
    , rank_(rank)
    , policy_(policy)
    , random_(seed)
    , foreignUntil_(now)
    , peersQueriedAt_(now)
    , lastDiscountedAt_(now)
    , startAt_(now)
    , backOffUntil_(now)
    , switchoverAllowedAt_(now)
    , wake_(now)
{
}

GroupActions GroupMonitor::tick(TimePoint now)
{
    begin(now);
    return settle(now);
}

GroupActions GroupMonitor::onReport(const MemberName &member, const MemberReport &report, TimePoint sentAt, TimePoint now)
{
    begin(now);
    if (auto *watch = find(member)) {
        const bool early = now - sentAt < policy_.reportWait(isPrimary(member)) && !watch->reportAtOnce();
        const bool idle = watch->report() == report;
        watch->reportEnded(early && idle ? now + policy_.idleReportGap : now);
        learn(*watch, report, sentAt, now);
    }
    return settle(now);
}

GroupActions GroupMonitor::onLinkFailure(const MemberName &member, const LinkFailure &failure, TimePoint now)
{
    begin(now);
    if (auto *watch = find(member)) {
        watch->reportEnded(watch->onFailure(failure, policy_, now));
    }
    return settle(now);
}

GroupActions GroupMonitor::onOrderReply(
    const MemberName &member, OrderKind kind, const Term &term, const TermReply &reply, TimePoint sentAt, TimePoint now)
{
    begin(now);
    if (auto *watch = find(member)) {
        if (watch->order() == OutstandingOrder{kind, term}) {
            watch->orderEnded(reply.accepted ? now : now + policy_.orderRetry);
        }
        if (kind == OrderKind::Follow && reply.accepted) {
            watch->told(term);
        }
        learn(*watch, reply.report, sentAt, now);
    }
    return settle(now);
}

GroupActions
GroupMonitor::onOrderFailure(const MemberName &member, OrderKind kind, const Term &term, const LinkFailure &failure, TimePoint now)
{
    begin(now);
    if (auto *watch = find(member)) {
        if (watch->order() == OutstandingOrder{kind, term}) {
            watch->orderEnded(now + policy_.orderRetry);
        }
        watch->onFailure(failure, policy_, now);
    }
    return settle(now);
}

GroupActions GroupMonitor::onPeerObservation(const InstanceName &peer, const PeerObservation &observation, TimePoint now)
{
    begin(now);
    peerObservations_.onObservation(peer, observation, now);
    observeTerm(observation.highest, now);
    return settle(now);
}

GroupActions GroupMonitor::onStatementEvidence(const MemberName &member, TimePoint now)
{
    begin(now);
    if (auto *watch = find(member)) {
        watch->onAlive(now);
    }
    return settle(now);
}

GroupActions GroupMonitor::setRank(unsigned rank, TimePoint now)
{
    begin(now);
    rank_ = rank;
    return settle(now);
}

GroupActions GroupMonitor::setMembers(std::vector<GroupMember> members, TimePoint now)
{
    begin(now);
    auto watches = watchesFor(members, now);
    for (auto &watch : watches) {
        if (auto *known = find(watch.name())) {
            watch = std::move(*known);
        }
    }
    members_ = std::move(members);
    watches_ = std::move(watches);
    if (promotion_) {
        abandonPromotion(now);
    }
    return settle(now);
}

GroupActions GroupMonitor::setPolicy(const GroupPolicy &policy, TimePoint now)
{
    begin(now);
    policy_ = policy;
    return settle(now);
}

GroupActions GroupMonitor::requestSwitchover(const MemberName &leaving, TimePoint now)
{
    begin(now);
    if (leaving.empty() || find(leaving) != nullptr) {
        leaving_ = leaving;
    }
    return settle(now);
}

GroupActions GroupMonitor::onPeerWritePause(TimePoint until, TimePoint now)
{
    begin(now);
    switchoverAllowedAt_ = std::max(switchoverAllowedAt_, until + policy_.switchoverRetry + rank_ * policy_.holdLimit);
    return settle(now);
}

TimePoint GroupMonitor::nextWake() const noexcept
{
    return wake_;
}

std::optional<PrimaryInfo> GroupMonitor::primary() const
{
    auto view = primary_;
    if (view) {
        view->suspected = need_.has_value();
    }
    return view;
}

PeerObservation GroupMonitor::observation(TimePoint now) const
{
    PeerObservation observation;
    observation.highest = highest_;
    if (!primary_) {
        return observation;
    }
    const auto *watch = find(primary_->member);
    observation.primary = primary_->member;
    observation.term = primary_->term;
    observation.log = watch->report()->log;
    observation.contactAge = wholeMilliseconds(now - watch->heardAt());
    return observation;
}

std::optional<MemberReport> GroupMonitor::lastReport(const MemberName &member) const
{
    const auto *watch = find(member);
    return watch == nullptr ? std::nullopt : watch->report();
}

std::optional<Microseconds> GroupMonitor::contactAge(const MemberName &member, TimePoint now) const
{
    const auto *watch = find(member);
    if (watch == nullptr || !watch->everHeard()) {
        return std::nullopt;
    }
    return now - watch->heardAt();
}

bool GroupMonitor::promoting() const noexcept
{
    return promotion_.has_value();
}

const std::vector<GroupMember> &GroupMonitor::members() const noexcept
{
    return members_;
}

void GroupMonitor::begin(TimePoint now)
{
    actions_.clear();
    discountLocalPause(now);
}

GroupActions GroupMonitor::settle(TimePoint now)
{
    refreshPrimary(now);
    confirmPrimary();
    refreshReplication(now);
    advancePromotion(now);
    refreshNeed(now);
    advanceSwitchover(now);
    queryPeers(now);
    redirectMembers(now);
    sendReports(now);
    planWake(now);
    return std::exchange(actions_, {});
}

// A process that stood still has heard nobody, which says nothing about the members. At most one pause in each
// silence bound is forgiven, so that a process that is always late still detects failures.
void GroupMonitor::discountLocalPause(TimePoint now)
{
    const auto lateness = now - wake_;
    if (lateness <= localPauseThreshold || now - lastDiscountedAt_ < policy_.silenceBound) {
        return;
    }
    lastDiscountedAt_ = now;
    for (auto &watch : watches_) {
        watch.discountPause(lateness + localPauseGrace, now);
    }
    if (lateness >= recordedLocalPause) {
        recordEvent(AuditEventKind::LocalPause, MemberName{}, Term{});
    }
}

void GroupMonitor::learn(MemberWatch &watch, const MemberReport &report, TimePoint sentAt, TimePoint now)
{
    watch.onState(report, sentAt, now);
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
    foreignUntil_ = now + policy_.attemptPatience + rankDelay();
}

void GroupMonitor::recordEvent(AuditEventKind kind, const MemberName &member, const Term &term, PromotionReason reason)
{
    actions_.emplace_back(AuditEvent{kind, member, term, reason});
}

MemberWatch *GroupMonitor::find(const MemberName &member) noexcept
{
    const auto found = std::find_if(watches_.begin(), watches_.end(), [&](const MemberWatch &watch) { return watch.name() == member; });
    return found == watches_.end() ? nullptr : &*found;
}

const MemberWatch *GroupMonitor::find(const MemberName &member) const noexcept
{
    const auto found = std::find_if(watches_.begin(), watches_.end(), [&](const MemberWatch &watch) { return watch.name() == member; });
    return found == watches_.end() ? nullptr : &*found;
}

std::size_t GroupMonitor::majority() const noexcept
{
    return majorityOf(watches_.size());
}

bool GroupMonitor::isPrimary(const MemberName &member) const noexcept
{
    return !primary_ || primary_->member == member;
}

bool GroupMonitor::silent(const MemberWatch &watch, TimePoint now) const noexcept
{
    return watch.silent(policy_, isPrimary(watch.name()), now);
}

bool GroupMonitor::reachable(const MemberWatch &watch, TimePoint now) const noexcept
{
    return watch.report() && !watch.gone() && !silent(watch, now);
}

} // namespace cardamomstep
