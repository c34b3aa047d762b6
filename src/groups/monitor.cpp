// Inputs and queries of the group monitor.
#include "groups/monitor.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

/// Lateness of a tick beyond which this process itself is taken to have stood still.
constexpr Milliseconds ownPauseLimit{20};
/// Time given to replies that wait in this process after a pause of its own.
constexpr Milliseconds ownPauseGrace{10};
/// Own pauses from here on are worth a note.
constexpr Milliseconds notedOwnPause{100};

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
    , peersAskedAt_(now)
    , lastForgiven_(now)
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

GroupActions GroupMonitor::onLinkFailure(const MemberName &member, const ConnectionFailure &failure, TimePoint now)
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
GroupMonitor::onOrderFailure(const MemberName &member, OrderKind kind, const Term &term, const ConnectionFailure &failure, TimePoint now)
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

GroupActions GroupMonitor::onPeerSighting(const InstanceName &peer, const PeerSighting &sighting, TimePoint now)
{
    begin(now);
    suspicion_.onSighting(peer, sighting, now);
    noteTerm(sighting.highest, now);
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

GroupActions GroupMonitor::onPeerHold(TimePoint until, TimePoint now)
{
    begin(now);
    switchoverAllowedAt_ = std::max(switchoverAllowedAt_, until + policy_.switchoverRetry + rank_ * policy_.holdLimit);
    return settle(now);
}

TimePoint GroupMonitor::nextWake() const noexcept
{
    return wake_;
}

std::optional<PrimaryView> GroupMonitor::primary() const
{
    auto view = primary_;
    if (view) {
        view->suspected = need_.has_value();
    }
    return view;
}

PeerSighting GroupMonitor::sighting(TimePoint now) const
{
    PeerSighting sighting;
    sighting.highest = highest_;
    if (!primary_) {
        return sighting;
    }
    const auto *watch = find(primary_->member);
    sighting.primary = primary_->member;
    sighting.term = primary_->term;
    sighting.log = watch->report()->log;
    sighting.age = wholeMilliseconds(now - watch->heardAt());
    return sighting;
}

std::optional<MemberReport> GroupMonitor::lastReport(const MemberName &member) const
{
    const auto *watch = find(member);
    return watch == nullptr ? std::nullopt : watch->report();
}

std::optional<Microseconds> GroupMonitor::age(const MemberName &member, TimePoint now) const
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
    forgiveOwnPause(now);
}

GroupActions GroupMonitor::settle(TimePoint now)
{
    refreshPrimary(now);
    confirmPrimary();
    refreshReplication(now);
    advancePromotion(now);
    refreshNeed(now);
    advanceSwitchover(now);
    askPeers(now);
    redirectMembers(now);
    sendReports(now);
    planWake(now);
    return std::exchange(actions_, {});
}

// A process that stood still has heard nobody, which says nothing about the members. At most one pause in each
// silence bound is forgiven, so that a process that is always late still detects failures.
void GroupMonitor::forgiveOwnPause(TimePoint now)
{
    const auto late = now - wake_;
    if (late <= ownPauseLimit || now - lastForgiven_ < policy_.silenceBound) {
        return;
    }
    lastForgiven_ = now;
    for (auto &watch : watches_) {
        watch.forgive(late + ownPauseGrace, now);
    }
    if (late >= notedOwnPause) {
        note(NoteKind::OwnPause, MemberName{}, Term{});
    }
}

void GroupMonitor::learn(MemberWatch &watch, const MemberReport &report, TimePoint sentAt, TimePoint now)
{
    watch.onState(report, sentAt, now);
    noteTerm(report.adopted, now);
    noteTerm(report.log.term, now);
    if (promotion_) {
        promotion_->onAdopted(report);
    }
}

void GroupMonitor::noteTerm(const Term &term, TimePoint now)
{
    if (term <= highest_) {
        return;
    }
    highest_ = term;
    foreignUntil_ = now + policy_.attemptPatience + rankDelay();
}

void GroupMonitor::note(NoteKind kind, const MemberName &member, const Term &term, PromotionReason reason)
{
    actions_.emplace_back(Note{kind, member, term, reason});
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
