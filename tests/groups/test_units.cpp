// The parts of the groups slice on their own: coverage, read rounds, switchover, pacing, tallies and own pauses.
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

MemberReport report(const MemberName &member, const Term &adopted, const Mark &log, MemberRole role = MemberRole::Replica)
{
    return MemberReport{member, role, adopted, log, false};
}

} // namespace

Test(groups, entryIsCoveredByAMajorityAtItsOwnTerm)
{
    AckTracker tracker{{a, b, c}};
    cr_assert(!tracker.onState(a, Mark{first, 5}, first));
    cr_assert(tracker.coverage(Mark{first, 5}) == Coverage::Pending);
    cr_assert(tracker.onState(b, Mark{first, 3}, first));
    cr_assert(tracker.coverage(Mark{first, 3}) == Coverage::Covered);
    cr_assert(tracker.coverage(Mark{first, 4}) == Coverage::Pending);
    cr_assert((tracker.covered() == Mark{first, 3}));
}

Test(groups, reportsAtAHigherTermDoNotCoverALowerOnesEntry)
{
    AckTracker tracker{{a, b, c}};
    tracker.onState(a, Mark{first, 5}, first);
    tracker.onState(b, Mark{second, 9}, second);
    cr_assert(tracker.coverage(Mark{first, 5}) == Coverage::Pending);
    cr_assert(tracker.onState(c, Mark{second, 9}, second));
    cr_assert(tracker.coverage(Mark{first, 5}) == Coverage::Superseded);
    cr_assert(tracker.coverage(Mark{second, 9}) == Coverage::Covered);
}

Test(groups, coveredEntryStaysCoveredAfterAPromotion)
{
    AckTracker tracker{{a, b, c}};
    tracker.onState(a, Mark{first, 5}, first);
    tracker.onState(b, Mark{first, 5}, first);
    tracker.onState(b, Mark{second, 6}, second);
    tracker.onState(c, Mark{second, 6}, second);
    cr_assert(tracker.coverage(Mark{first, 5}) == Coverage::Covered);
    cr_assert(tracker.coverage(Mark{first, 6}) == Coverage::Superseded);
}

Test(groups, copiesMadeUnderAHigherTermDoNotCoverAnEntry)
{
    // The entry (1, 5) is only on a; b led term 2 and holds an entry of it; a leads term 3 and c catches up with it.
    const Term third{3, 1};
    AckTracker tracker{{a, b, c}};
    tracker.onState(a, Mark{first, 5}, first);
    tracker.onState(b, Mark{second, 5}, second);
    tracker.onState(a, Mark{third, 6}, third);
    tracker.onState(c, Mark{first, 5}, third);
    cr_assert(tracker.coverage(Mark{first, 5}) != Coverage::Covered);
    tracker.onState(c, Mark{third, 6}, third);
    cr_assert(tracker.coverage(Mark{third, 6}) == Coverage::Covered);
}

Test(groups, unknownMembersCoverNothing)
{
    AckTracker tracker{{a, b, c}};
    tracker.onState(a, Mark{first, 5}, first);
    tracker.onState(MemberName{"d"}, Mark{first, 5}, first);
    cr_assert(tracker.coverage(Mark{first, 5}) == Coverage::Pending);
}

Test(groups, coverageIsTheMajorityPositionAtEachTerm)
{
    const bool holds = rc::check("covered is the second of three positions", [](std::uint8_t x, std::uint8_t y, std::uint8_t z) {
        AckTracker tracker{{a, b, c}};
        tracker.onState(a, Mark{first, x}, first);
        tracker.onState(b, Mark{first, y}, first);
        tracker.onState(c, Mark{first, z}, first);
        std::array<std::uint8_t, 3> sorted{x, y, z};
        std::sort(sorted.begin(), sorted.end());
        const std::uint64_t covered = sorted[1];
        // Position 0 asks for the term's start entry, which stands at 1 or later.
        const auto atStart = covered > 0 ? Coverage::Covered : Coverage::Pending;
        RC_ASSERT(tracker.coverage(Mark{first, 0}) == atStart);
        RC_ASSERT(tracker.coverage(Mark{first, covered}) == atStart);
        RC_ASSERT(tracker.coverage(Mark{first, covered + 1}) == Coverage::Pending);
    });
    cr_assert(holds);
}

Test(groups, readRoundCountsOnlyRepliesToWhatWasSentAfterItBegan)
{
    LegitimacyRounds rounds{{a, b, c}};
    rounds.setPrimary(a, first);
    const auto round = rounds.join(at(10));
    cr_assert_eq(rounds.join(at(11)), round);
    cr_assert_eq(*rounds.begin(at(12)), round);
    rounds.onState(a, first, Mark{first, 7}, at(11));
    rounds.onState(b, first, Mark{first, 7}, at(13));
    cr_assert(!rounds.takeResult(at(14)));
    rounds.onState(c, first, Mark{first, 7}, at(13));
    cr_assert(!rounds.takeResult(at(14)), "no reply of the primary counts yet");
    rounds.onState(a, first, Mark{first, 8}, at(13));
    const auto result = rounds.takeResult(at(20));
    cr_assert(result && result->legitimate && result->round == round);
    cr_assert((result->readMark == Mark{first, 8}));
}

Test(groups, readMarkIsNeverOfALowerTerm)
{
    LegitimacyRounds rounds{{a, b, c}};
    rounds.setPrimary(a, second);
    (void)rounds.join(at(0));
    (void)rounds.begin(at(0));
    rounds.onState(b, second, Mark{second, 9}, at(1));
    rounds.onState(a, second, Mark{first, 4}, at(1));
    cr_assert(!rounds.takeResult(at(2)), "an old mark says nothing on the primary's log");
    rounds.onState(a, second, Mark{second, 9}, at(1));
    cr_assert((rounds.takeResult(at(3))->readMark == Mark{second, 9}));
}

Test(groups, readsDuringARoundJoinTheNextOne)
{
    LegitimacyRounds rounds{{a, b, c}};
    rounds.setPrimary(a, first);
    const auto earlier = rounds.join(at(0));
    cr_assert(rounds.begin(at(0)));
    const auto later = rounds.join(at(1));
    cr_assert_neq(earlier, later);
    cr_assert(!rounds.begin(at(1)), "one round at a time");
    rounds.onState(a, first, Mark{first, 1}, at(1));
    rounds.onState(b, first, Mark{first, 1}, at(1));
    cr_assert_eq(rounds.takeResult(at(8))->round, earlier);
    cr_assert_eq(*rounds.begin(at(8)), later);
}

Test(groups, readRoundFailsWhenSupersededOrLate)
{
    LegitimacyRounds rounds{{a, b, c}};
    rounds.setPrimary(a, first);
    (void)rounds.join(at(0));
    (void)rounds.begin(at(0));
    rounds.onState(b, second, Mark{}, at(1));
    cr_assert(!rounds.takeResult(at(1)), "one member alone does not supersede");
    rounds.onState(c, second, Mark{}, at(1));
    cr_assert(!rounds.takeResult(at(2))->legitimate);
    (void)rounds.join(at(3));
    (void)rounds.begin(at(3));
    cr_assert(!rounds.takeResult(at(100)));
    cr_assert(!rounds.takeResult(*rounds.nextWake())->legitimate);
    (void)rounds.join(at(300));
    (void)rounds.begin(at(300));
    rounds.setPrimary(b, second);
    cr_assert(!rounds.takeResult(at(301))->legitimate);
}

Test(groups, readRoundWithoutAPrimaryFailsInTime)
{
    LegitimacyRounds rounds{{a, b, c}};
    const auto round = rounds.join(at(0));
    cr_assert(!rounds.begin(at(0)));
    const auto result = rounds.takeResult(*rounds.nextWake());
    cr_assert(result && result->round == round && !result->legitimate);
}

Test(groups, switchoverWaitsForQuietAndForAReplica)
{
    const GroupPolicy policy;
    Switchover switchover;
    switchover.start(a, policy, at(0));
    std::vector<MemberReport> reports{report(a, first, Mark{first, 9}, MemberRole::Primary), report(b, first, Mark{first, 8})};
    cr_assert(switchover.advance(reports, first, policy, at(0)) == SwitchoverStep::CatchUp);
    cr_assert(switchover.advance(reports, first, policy, at(30)) == SwitchoverStep::CatchUp);
    reports[1].log.position = 9;
    reports[1].leaving = true;
    cr_assert(switchover.advance(reports, first, policy, at(31)) == SwitchoverStep::CatchUp);
    reports[1].leaving = false;
    cr_assert(switchover.advance(reports, first, policy, at(32)) == SwitchoverStep::HandOver);
    cr_assert(switchover.target() == b);
    switchover.start(a, policy, at(100));
    reports[1].log.position = 8;
    cr_assert(switchover.advance(reports, first, policy, switchover.deadline()) == SwitchoverStep::Abandon);
}

Test(groups, greatestMarkLeadsAndOnlyAfterAMajority)
{
    PromotionPlan plan;
    plan.term = Term{3, 9};
    plan.prefer = a;
    Promotion promotion{plan, 3};
    promotion.onAdopted(report(a, plan.term, Mark{first, 50}));
    promotion.choose(true);
    cr_assert(promotion.candidate().empty());
    promotion.onAdopted(report(b, Term{3, 8}, Mark{second, 60}));
    promotion.choose(true);
    cr_assert(promotion.candidate().empty(), "an adoption of another term does not count");
    promotion.onAdopted(report(c, plan.term, Mark{second, 10}));
    promotion.choose(false);
    cr_assert(promotion.candidate().empty());
    promotion.choose(true);
    cr_assert(promotion.candidate() == c);
    promotion.onAdopted(report(b, plan.term, Mark{second, 90}));
    promotion.choose(true);
    cr_assert(promotion.candidate() == c, "one term has one candidate");
}

Test(groups, overlappingRepliesNeverTakeAMemberBack)
{
    MemberWatch watch{a, at(0)};
    watch.onState(report(a, second, Mark{second, 4}, MemberRole::Primary), at(0), at(10));
    watch.onState(report(a, first, Mark{first, 9}), at(5), at(11));
    watch.onState(report(a, second, Mark{first, 3}), at(5), at(12));
    cr_assert(watch.report()->role == MemberRole::Primary);
    watch.onState(report(a, second, Mark{second, 4}), at(12), at(20));
    cr_assert(watch.report()->role == MemberRole::Replica, "a reply to a later question is the truth");
}

Test(groups, peersVotesNeedFreshNews)
{
    Suspicion suspicion;
    suspicion.onSighting(InstanceName{"p"}, PeerSighting{a, first, first, Mark{first, 9}, Milliseconds{10}}, at(100));
    suspicion.onSighting(InstanceName{"q"}, PeerSighting{a, first, first, Mark{first, 4}, Milliseconds{300}}, at(100));
    suspicion.onSighting(InstanceName{"r"}, PeerSighting{}, at(100));
    const auto fresh = suspicion.votes(first, at(50));
    cr_assert(fresh.alive == 1 && fresh.dead == 1);
    const auto stale = suspicion.votes(first, at(200));
    cr_assert(stale.alive == 0 && stale.dead == 0);
    cr_assert(suspicion.votes(second, at(50)).alive == 0);
    cr_assert((suspicion.furthestLog(a, first) == Mark{first, 9}));
}

Test(groups, ownPauseIsNotTakenForADeadPrimary)
{
    const GroupPolicy policy;
    const std::vector<GroupMember> members{{a, Address{"10.0.0.1:1"}}, {b, Address{"10.0.0.2:1"}}, {c, Address{"10.0.0.3:1"}}};
    GroupMonitor monitor{members, 0, policy, 1, at(0)};
    (void)monitor.tick(at(0));
    (void)monitor.onReport(a, report(a, first, Mark{first, 1}, MemberRole::Primary), at(0), at(300));
    (void)monitor.onReport(b, report(b, first, Mark{first, 1}), at(0), at(300));
    (void)monitor.onReport(c, report(c, first, Mark{first, 1}), at(0), at(300));
    cr_assert(monitor.primary()->confirmed);
    (void)monitor.tick(monitor.nextWake());
    // The process stands still for a second, and its tick comes before the replies that wait.
    const auto late = monitor.nextWake() + Milliseconds{1000};
    (void)monitor.tick(late);
    cr_assert(!monitor.primary()->suspected);
    (void)monitor.onReport(a, report(a, first, Mark{first, 1}, MemberRole::Primary), late, late + Milliseconds{1});
    cr_assert(!monitor.primary()->suspected);
}

Test(groups, removedPrimaryIsNoLongerBelieved)
{
    const std::vector<GroupMember> members{{a, Address{"10.0.0.1:1"}}, {b, Address{"10.0.0.2:1"}}, {c, Address{"10.0.0.3:1"}}};
    GroupMonitor monitor{members, 0, GroupPolicy{}, 1, at(0)};
    (void)monitor.tick(at(0));
    (void)monitor.onReport(a, report(a, first, Mark{first, 1}, MemberRole::Primary), at(0), at(5));
    (void)monitor.onReport(b, report(b, first, Mark{first, 1}), at(0), at(5));
    cr_assert(monitor.primary()->member == a);
    (void)monitor.setMembers({members[1], members[2]}, at(10));
    cr_assert(!monitor.primary());
    cr_assert(!monitor.lastReport(a) && monitor.lastReport(b));
    cr_assert(!monitor.age(a, at(20)) && *monitor.age(b, at(20)) == Milliseconds{15});
}

Test(groups, refusalByAHigherTermEndsTheAttempt)
{
    const std::vector<GroupMember> members{{a, Address{"10.0.0.1:1"}}, {b, Address{"10.0.0.2:1"}}, {c, Address{"10.0.0.3:1"}}};
    GroupMonitor monitor{members, 0, GroupPolicy{}, 1, at(0)};
    (void)monitor.tick(at(0));
    (void)monitor.onReport(a, report(a, Term{}, Mark{}), at(0), at(5));
    (void)monitor.onReport(b, report(b, Term{}, Mark{}), at(0), at(5));
    const auto started = monitor.onReport(c, report(c, Term{}, Mark{}), at(0), at(5));
    cr_assert(monitor.promoting());
    Term term;
    for (const auto &action : started) {
        if (const auto *adopt = std::get_if<SendAdopt>(&action)) {
            term = adopt->term;
        }
    }
    cr_assert_eq(term.number, 1);
    const auto holdsLead = [](const GroupActions &actions) {
        return std::any_of(
            actions.begin(), actions.end(), [](const GroupAction &action) { return std::holds_alternative<SendLead>(action); });
    };
    const TermReply accepted{true, report(a, term, Mark{})};
    cr_assert(!holdsLead(monitor.onOrderReply(a, OrderKind::Adopt, term, accepted, at(5), at(12))), "one of three is no majority");
    const TermReply refused{false, report(b, Term{9, 1}, Mark{})};
    cr_assert(!holdsLead(monitor.onOrderReply(b, OrderKind::Adopt, term, refused, at(5), at(12))));
    cr_assert(!monitor.promoting());
    cr_assert_eq(monitor.sighting(at(12)).highest.number, 9);
    const TermReply late{true, report(c, term, Mark{})};
    cr_assert(!holdsLead(monitor.onOrderReply(c, OrderKind::Adopt, term, late, at(5), at(13))), "the attempt has ended");
}

Test(groups, pacingKeepsTheBudgetAndTheBound)
{
    const PacingBudget budget;
    cr_assert((paceReports(3, 9) == Pacing{Milliseconds{50}, 1}), "today's sizes");
    const auto paced = paceReports(19, 57);
    GroupPolicy policy;
    policy.heartbeatInterval = paced.heartbeatInterval;
    policy.replicaHeartbeatFactor = paced.replicaHeartbeatFactor;
    const auto interval = static_cast<double>(paced.heartbeatInterval.count()) / 1000;
    const double exchanges = 19 / interval + 38 / (interval * paced.replicaHeartbeatFactor);
    cr_assert(exchanges * static_cast<double>(budget.bytesPerExchange) <= 11'000 * 0.7);
    cr_assert(policy.suspectAfter() + policy.attemptTimeout < Milliseconds{5000});
    const bool holds = rc::check("more watches never mean more frequent reports", [](std::uint16_t groups) {
        RC_ASSERT(paceReports(groups, 3U * groups).heartbeatInterval <= paceReports(groups + 1U, 3U * (groups + 1U)).heartbeatInterval);
    });
    cr_assert(holds);
}
