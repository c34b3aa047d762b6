// Unit tests of the groups module: quorum state, read index rounds, switchover, pacing, votes and local pauses.
#include "groups/impl/membertracker.h"
#include "groups/impl/peerobservations.h"
#include "groups/impl/promotion.h"
#include "groups/monitor.h"
#include "groups/pacing.h"
#include "groups/quorumstate.h"
#include "groups/readindexrounds.h"
#include "groups/switchover.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace cardamomstep;

namespace {

constexpr Term first{1, 1};
constexpr Term second{2, 1};
const MemberName a{"a"};
const MemberName b{"b"};
const MemberName c{"c"};

TimePoint at(int milliseconds)
{
    return TimePoint{Milliseconds{milliseconds}};
}

MemberReport report(const MemberName &member, const Term &adopted, const LogPosition &log, MemberRole role = MemberRole::Replica)
{
    return MemberReport{member, role, adopted, log, false};
}

} // namespace

Test(groups, entryIsReplicatedByAMajorityAtItsOwnTerm)
{
    AckTracker tracker{{a, b, c}};
    cr_assert(!tracker.onState(a, LogPosition{first, 5}, first));
    cr_assert(tracker.quorumState(LogPosition{first, 5}) == QuorumState::Pending);
    cr_assert(tracker.onState(b, LogPosition{first, 3}, first));
    cr_assert(tracker.quorumState(LogPosition{first, 3}) == QuorumState::Replicated);
    cr_assert(tracker.quorumState(LogPosition{first, 4}) == QuorumState::Pending);
    cr_assert((tracker.replicated() == LogPosition{first, 3}));
}

Test(groups, reportsAtAHigherTermDoNotCountForAnEntryOfALowerTerm)
{
    AckTracker tracker{{a, b, c}};
    tracker.onState(a, LogPosition{first, 5}, first);
    tracker.onState(b, LogPosition{second, 9}, second);
    cr_assert(tracker.quorumState(LogPosition{first, 5}) == QuorumState::Pending);
    cr_assert(tracker.onState(c, LogPosition{second, 9}, second));
    cr_assert(tracker.quorumState(LogPosition{first, 5}) == QuorumState::Superseded);
    cr_assert(tracker.quorumState(LogPosition{second, 9}) == QuorumState::Replicated);
}

Test(groups, replicatedEntryStaysReplicatedAfterAPromotion)
{
    AckTracker tracker{{a, b, c}};
    tracker.onState(a, LogPosition{first, 5}, first);
    tracker.onState(b, LogPosition{first, 5}, first);
    tracker.onState(b, LogPosition{second, 6}, second);
    tracker.onState(c, LogPosition{second, 6}, second);
    cr_assert(tracker.quorumState(LogPosition{first, 5}) == QuorumState::Replicated);
    cr_assert(tracker.quorumState(LogPosition{first, 6}) == QuorumState::Superseded);
}

Test(groups, copiesMadeUnderAHigherTermDoNotCountForAnEntry)
{
    // The entry (1, 5) is only on a; b led term 2 and has an entry of it; a leads term 3, and c catches up with a.
    const Term third{3, 1};
    AckTracker tracker{{a, b, c}};
    tracker.onState(a, LogPosition{first, 5}, first);
    tracker.onState(b, LogPosition{second, 5}, second);
    tracker.onState(a, LogPosition{third, 6}, third);
    tracker.onState(c, LogPosition{first, 5}, third);
    cr_assert(tracker.quorumState(LogPosition{first, 5}) != QuorumState::Replicated);
    tracker.onState(c, LogPosition{third, 6}, third);
    cr_assert(tracker.quorumState(LogPosition{third, 6}) == QuorumState::Replicated);
}

Test(groups, reportsOfUnknownMembersDoNotCount)
{
    AckTracker tracker{{a, b, c}};
    tracker.onState(a, LogPosition{first, 5}, first);
    tracker.onState(MemberName{"d"}, LogPosition{first, 5}, first);
    cr_assert(tracker.quorumState(LogPosition{first, 5}) == QuorumState::Pending);
}

Test(groups, replicatedPositionIsTheMajorityPositionOfATerm)
{
    const bool holds = rc::check("the replicated position is the second of three", [](std::uint8_t x, std::uint8_t y, std::uint8_t z) {
        AckTracker tracker{{a, b, c}};
        tracker.onState(a, LogPosition{first, x}, first);
        tracker.onState(b, LogPosition{first, y}, first);
        tracker.onState(c, LogPosition{first, z}, first);
        std::array<std::uint8_t, 3> sorted{x, y, z};
        std::sort(sorted.begin(), sorted.end());
        const std::uint64_t replicatedIndex = sorted[1];
        // Index 0 queries the term's start entry, which is at index 1 or later.
        const auto atStart = replicatedIndex > 0 ? QuorumState::Replicated : QuorumState::Pending;
        RC_ASSERT(tracker.quorumState(LogPosition{first, 0}) == atStart);
        RC_ASSERT(tracker.quorumState(LogPosition{first, replicatedIndex}) == atStart);
        RC_ASSERT(tracker.quorumState(LogPosition{first, replicatedIndex + 1}) == QuorumState::Pending);
    });
    cr_assert(holds);
}

Test(groups, readRoundCountsOnlyRepliesToRequestsSentAfterItsStart)
{
    ReadIndexRounds rounds{{a, b, c}};
    rounds.setPrimary(a, first);
    const auto round = rounds.join(at(10));
    cr_assert_eq(rounds.join(at(11)), round);
    cr_assert_eq(*rounds.begin(at(12)), round);
    rounds.onState(a, first, LogPosition{first, 7}, at(11));
    rounds.onState(b, first, LogPosition{first, 7}, at(13));
    cr_assert(!rounds.takeResult(at(14)));
    rounds.onState(c, first, LogPosition{first, 7}, at(13));
    cr_assert(!rounds.takeResult(at(14)), "no reply of the primary counts so far");
    rounds.onState(a, first, LogPosition{first, 8}, at(13));
    const auto result = rounds.takeResult(at(20));
    cr_assert(result && result->leaderConfirmed && result->round == round);
    cr_assert((result->readPosition == LogPosition{first, 8}));
}

Test(groups, readPositionIsNeverOfALowerTerm)
{
    ReadIndexRounds rounds{{a, b, c}};
    rounds.setPrimary(a, second);
    (void)rounds.join(at(0));
    (void)rounds.begin(at(0));
    rounds.onState(b, second, LogPosition{second, 9}, at(1));
    rounds.onState(a, second, LogPosition{first, 4}, at(1));
    cr_assert(!rounds.takeResult(at(2)), "a position of a lower term is not the end of the primary's log");
    rounds.onState(a, second, LogPosition{second, 9}, at(1));
    cr_assert((rounds.takeResult(at(3))->readPosition == LogPosition{second, 9}));
}

Test(groups, readsDuringARoundJoinTheNextOne)
{
    ReadIndexRounds rounds{{a, b, c}};
    rounds.setPrimary(a, first);
    const auto earlier = rounds.join(at(0));
    cr_assert(rounds.begin(at(0)));
    const auto later = rounds.join(at(1));
    cr_assert_neq(earlier, later);
    cr_assert(!rounds.begin(at(1)), "one round at a time");
    rounds.onState(a, first, LogPosition{first, 1}, at(1));
    rounds.onState(b, first, LogPosition{first, 1}, at(1));
    cr_assert_eq(rounds.takeResult(at(8))->round, earlier);
    cr_assert_eq(*rounds.begin(at(8)), later);
}

Test(groups, readRoundFailsWhenSupersededOrTimedOut)
{
    ReadIndexRounds rounds{{a, b, c}};
    rounds.setPrimary(a, first);
    (void)rounds.join(at(0));
    (void)rounds.begin(at(0));
    rounds.onState(b, second, LogPosition{}, at(1));
    cr_assert(!rounds.takeResult(at(1)), "one member is not a majority");
    rounds.onState(c, second, LogPosition{}, at(1));
    cr_assert(!rounds.takeResult(at(2))->leaderConfirmed);
    (void)rounds.join(at(3));
    (void)rounds.begin(at(3));
    cr_assert(!rounds.takeResult(at(100)));
    cr_assert(!rounds.takeResult(*rounds.nextWake())->leaderConfirmed);
    (void)rounds.join(at(300));
    (void)rounds.begin(at(300));
    rounds.setPrimary(b, second);
    cr_assert(!rounds.takeResult(at(301))->leaderConfirmed);
}

Test(groups, readRoundWithoutAPrimaryFailsAtItsTimeout)
{
    ReadIndexRounds rounds{{a, b, c}};
    const auto round = rounds.join(at(0));
    cr_assert(!rounds.begin(at(0)));
    const auto result = rounds.takeResult(*rounds.nextWake());
    cr_assert(result && result->round == round && !result->leaderConfirmed);
}

Test(groups, switchoverWaitsForAStableLogAndACaughtUpReplica)
{
    const GroupPolicy policy;
    Switchover switchover;
    switchover.start(a, policy, at(0));
    std::vector<MemberReport> reports{report(a, first, LogPosition{first, 9}, MemberRole::Primary),
                                      report(b, first, LogPosition{first, 8})};
    cr_assert(switchover.advance(reports, first, policy, at(0)) == SwitchoverStep::CatchUp);
    cr_assert(switchover.advance(reports, first, policy, at(30)) == SwitchoverStep::CatchUp);
    reports[1].log.index = 9;
    reports[1].leaving = true;
    cr_assert(switchover.advance(reports, first, policy, at(31)) == SwitchoverStep::CatchUp);
    reports[1].leaving = false;
    cr_assert(switchover.advance(reports, first, policy, at(32)) == SwitchoverStep::HandOver);
    cr_assert(switchover.target() == b);
    switchover.start(a, policy, at(100));
    reports[1].log.index = 8;
    cr_assert(switchover.advance(reports, first, policy, switchover.deadline()) == SwitchoverStep::Abandon);
}

Test(groups, greatestLogPositionIsChosenOnlyAfterAMajorityAdopted)
{
    PromotionPlan plan;
    plan.term = Term{3, 9};
    plan.prefer = a;
    Promotion promotion{plan, 3};
    promotion.onAdopted(report(a, plan.term, LogPosition{first, 50}));
    promotion.choose(true);
    cr_assert(promotion.candidate().empty());
    promotion.onAdopted(report(b, Term{3, 8}, LogPosition{second, 60}));
    promotion.choose(true);
    cr_assert(promotion.candidate().empty(), "an adoption of another term does not count");
    promotion.onAdopted(report(c, plan.term, LogPosition{second, 10}));
    promotion.choose(false);
    cr_assert(promotion.candidate().empty());
    promotion.choose(true);
    cr_assert(promotion.candidate() == c);
    promotion.onAdopted(report(b, plan.term, LogPosition{second, 90}));
    promotion.choose(true);
    cr_assert(promotion.candidate() == c, "one term has one candidate");
}

Test(groups, overlappingRepliesNeverRevertAMembersState)
{
    MemberTracker memberTracker{a, at(0)};
    memberTracker.onState(report(a, second, LogPosition{second, 4}, MemberRole::Primary), at(0), at(10));
    memberTracker.onState(report(a, first, LogPosition{first, 9}), at(5), at(11));
    memberTracker.onState(report(a, second, LogPosition{first, 3}), at(5), at(12));
    cr_assert(memberTracker.report()->role == MemberRole::Primary);
    memberTracker.onState(report(a, second, LogPosition{second, 4}), at(12), at(20));
    cr_assert(memberTracker.report()->role == MemberRole::Replica, "a reply to a later request is newer");
}

Test(groups, peerVotesNeedRecentObservations)
{
    PeerObservations peerObservations;
    peerObservations.onObservation(InstanceName{"p"}, PeerObservation{a, first, first, LogPosition{first, 9}, Milliseconds{10}}, at(100));
    peerObservations.onObservation(InstanceName{"q"}, PeerObservation{a, first, first, LogPosition{first, 4}, Milliseconds{300}}, at(100));
    peerObservations.onObservation(InstanceName{"r"}, PeerObservation{}, at(100));
    const auto fresh = peerObservations.votes(first, at(50));
    cr_assert(fresh.alive == 1 && fresh.dead == 1);
    const auto stale = peerObservations.votes(first, at(200));
    cr_assert(stale.alive == 0 && stale.dead == 0);
    cr_assert(peerObservations.votes(second, at(50)).alive == 0);
    cr_assert((peerObservations.furthestLog(a, first) == LogPosition{first, 9}));
}

Test(groups, localPauseCausesNoSuspicion)
{
    const GroupPolicy policy;
    const std::vector<GroupMember> members{{a, Address{"10.0.0.1:1"}}, {b, Address{"10.0.0.2:1"}}, {c, Address{"10.0.0.3:1"}}};
    GroupMonitor monitor{members, 0, policy, 1, at(0)};
    (void)monitor.tick(at(0));
    (void)monitor.onReport(a, report(a, first, LogPosition{first, 1}, MemberRole::Primary), at(0), at(300));
    (void)monitor.onReport(b, report(b, first, LogPosition{first, 1}), at(0), at(300));
    (void)monitor.onReport(c, report(c, first, LogPosition{first, 1}), at(0), at(300));
    cr_assert(monitor.primary()->confirmed);
    (void)monitor.tick(monitor.nextWake());
    // The process is paused for a second, and its tick precedes the pending replies.
    const auto resumedAt = monitor.nextWake() + Milliseconds{1000};
    (void)monitor.tick(resumedAt);
    cr_assert(!monitor.primary()->suspected);
    (void)monitor.onReport(a, report(a, first, LogPosition{first, 1}, MemberRole::Primary), resumedAt, resumedAt + Milliseconds{1});
    cr_assert(!monitor.primary()->suspected);
}

Test(groups, removedMemberIsNoLongerPrimary)
{
    const std::vector<GroupMember> members{{a, Address{"10.0.0.1:1"}}, {b, Address{"10.0.0.2:1"}}, {c, Address{"10.0.0.3:1"}}};
    GroupMonitor monitor{members, 0, GroupPolicy{}, 1, at(0)};
    (void)monitor.tick(at(0));
    (void)monitor.onReport(a, report(a, first, LogPosition{first, 1}, MemberRole::Primary), at(0), at(5));
    (void)monitor.onReport(b, report(b, first, LogPosition{first, 1}), at(0), at(5));
    cr_assert(monitor.primary()->member == a);
    (void)monitor.setMembers({members[1], members[2]}, at(10));
    cr_assert(!monitor.primary());
    cr_assert(!monitor.lastReport(a) && monitor.lastReport(b));
    cr_assert(!monitor.contactAge(a, at(20)) && *monitor.contactAge(b, at(20)) == Milliseconds{15});
}

Test(groups, refusalByAHigherTermEndsTheAttempt)
{
    const std::vector<GroupMember> members{{a, Address{"10.0.0.1:1"}}, {b, Address{"10.0.0.2:1"}}, {c, Address{"10.0.0.3:1"}}};
    GroupMonitor monitor{members, 0, GroupPolicy{}, 1, at(0)};
    (void)monitor.tick(at(0));
    (void)monitor.onReport(a, report(a, Term{}, LogPosition{}), at(0), at(5));
    (void)monitor.onReport(b, report(b, Term{}, LogPosition{}), at(0), at(5));
    const auto started = monitor.onReport(c, report(c, Term{}, LogPosition{}), at(0), at(5));
    cr_assert(monitor.promoting());
    Term term;
    for (const auto &action : started) {
        if (const auto *adopt = std::get_if<SendAdopt>(&action)) {
            term = adopt->term;
        }
    }
    cr_assert_eq(term.number, 1);
    const auto containsLead = [](const GroupActions &actions) {
        return std::any_of(
            actions.begin(), actions.end(), [](const GroupAction &action) { return std::holds_alternative<SendLead>(action); });
    };
    const TermReply accepted{true, report(a, term, LogPosition{})};
    cr_assert(!containsLead(monitor.onOrderReply(a, OrderKind::Adopt, term, accepted, at(5), at(12))), "one of three is no majority");
    const TermReply refused{false, report(b, Term{9, 1}, LogPosition{})};
    cr_assert(!containsLead(monitor.onOrderReply(b, OrderKind::Adopt, term, refused, at(5), at(12))));
    cr_assert(!monitor.promoting());
    cr_assert_eq(monitor.observation(at(12)).highest.number, 9);
    const TermReply lateReply{true, report(c, term, LogPosition{})};
    cr_assert(!containsLead(monitor.onOrderReply(c, OrderKind::Adopt, term, lateReply, at(5), at(13))), "the attempt has ended");
}

Test(groups, pacingStaysWithinTheBudgetAndTheFailoverBound)
{
    const PacingBudget budget;
    cr_assert((paceReports(3, 9) == Pacing{Milliseconds{50}, 1}), "few members use the shortest interval");
    const auto paced = paceReports(19, 57);
    GroupPolicy policy;
    policy.heartbeatInterval = paced.heartbeatInterval;
    policy.replicaHeartbeatFactor = paced.replicaHeartbeatFactor;
    const auto interval = static_cast<double>(paced.heartbeatInterval.count()) / 1000;
    const double exchanges = 19 / interval + 38 / (interval * paced.replicaHeartbeatFactor);
    cr_assert(exchanges * static_cast<double>(budget.bytesPerExchange) <= 11'000 * 0.7);
    cr_assert(policy.suspectAfter() + policy.attemptTimeout < Milliseconds{5000});
    const bool holds = rc::check("more groups never mean more frequent reports", [](std::uint16_t groups) {
        RC_ASSERT(paceReports(groups, 3U * groups).heartbeatInterval <= paceReports(groups + 1U, 3U * (groups + 1U)).heartbeatInterval);
    });
    cr_assert(holds);
}
