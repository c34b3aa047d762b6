// Tests of one primary change, step by step and with lost replies.
#include "leadership/primarychangesteps.h"

#include <algorithm>

using namespace cardamomstep;
using namespace cardamomstep::leadership;

Test(primarychange, theReplicaWithTheLongestLogIsPromotedOnceBothAreStopped)
{
    auto change = startChange(PrimaryChangeReason::Silent, threeMembers);
    cr_assert(actionsOf<ListProxies>(change.next(at(5))).size() == 1);
    change.proxiesListed({InstanceName{"one"}}, at(9));
    change.memberStatus(status("r1", 20));
    change.memberStatus(status("r2", 21));
    const auto actions = change.next(at(130));
    cr_assert(actionsOf<QuiesceProxy>(actions).size() == 1);
    const auto stops = actionsOf<StopReplication>(actions);
    cr_assert(stops.size() == 2);
    cr_assert(stops.front().term == 2, "above the newest known term");
    change.quiesced(InstanceName{"one"}, LogPosition{Term{1, 0}, 20}, Seconds{60}, at(140));
    change.replicationStopped(status("r1", 22), 2);
    cr_assert(actionsOf<PromoteMember>(change.next(at(141))).empty(), "the other replica may hold more");
    change.replicationStopped(status("r2", 21), 2);
    const auto promotions = actionsOf<PromoteMember>(change.next(at(145)));
    cr_assert(promotions.size() == 1);
    cr_assert(promotions.front().member.text() == "r1");
}

// A proxy acknowledged entry 22 and was killed; its successor process does not know of it. Only r2, which is unreachable for now, holds
// that entry.
Test(primarychange, aMemberWithWritesAcknowledgedBeforeAProxyRestartIsAwaited)
{
    auto change = startChange(PrimaryChangeReason::Silent, threeMembers);
    change.onAcknowledged(LogPosition{Term{1, 0}, 22});
    (void)change.next(at(5));
    change.proxiesListed({InstanceName{"one"}}, at(9));
    change.memberStatus(status("r1", 20));
    (void)change.next(at(130));
    change.quiesced(InstanceName{"one"}, LogPosition{Term{1, 0}, 20}, Seconds{7}, at(140));
    change.replicationStopped(status("r1", 20), 2);
    for (std::int64_t time = 150; time < 20'000; time += 100) {
        cr_assert(actionsOf<PromoteMember>(change.next(at(time))).empty(), "at %ld ms", time);
    }
    change.memberStatus(status("r2", 22));
    (void)change.next(at(20'130));
    change.replicationStopped(status("r2", 22), 2);
    const auto promotions = actionsOf<PromoteMember>(change.next(at(20'140)));
    cr_assert(promotions.size() == 1 && promotions.front().member.text() == "r2");
}

Test(primarychange, overdueRepliesOfProxiesRepeatNoRequest)
{
    auto change = startChange(PrimaryChangeReason::Silent, threeMembers);
    (void)change.next(at(5));
    std::vector<InstanceName> proxies;
    for (int number = 0; number < 40; ++number) {
        proxies.emplace_back("proxy-" + std::to_string(number));
    }
    change.proxiesListed(proxies, at(9));
    change.memberStatus(status("r1", 22));
    change.memberStatus(status("r2", 21));
    (void)change.next(at(130));
    change.replicationStopped(status("r1", 22), 2);
    change.replicationStopped(status("r2", 21), 2);
    std::size_t promotions = 0;
    std::size_t records = 0;
    for (std::int64_t time = 700; time < 1700; time += 10) {
        const auto &proxy = proxies[static_cast<std::size_t>(time / 10) % proxies.size()];
        change.quiesced(proxy, LogPosition{}, Seconds{60}, at(time));
        if (time == 1200) {
            change.promoted(MemberName{"r1"}, PromotionOutcome::Accepted, at(time));
            change.memberStatus(status("r1", 22, true, 3));
        }
        const auto actions = change.next(at(time));
        promotions += actionsOf<PromoteMember>(actions).size();
        records += actionsOf<StoreRecord>(actions).size();
    }
    cr_assert(promotions == 1, "%zu requests to promote", promotions);
    cr_assert(records == 1, "%zu writes of the record", records);
}

Test(primarychange, thePrimaryTableOfASilentProxyExpiresBeforeAnyPromotion)
{
    auto change = startChange(PrimaryChangeReason::Silent, threeMembers);
    (void)change.next(at(5));
    change.proxiesListed({InstanceName{"one"}, InstanceName{"two"}}, at(9));
    change.memberStatus(status("r1", 20));
    change.memberStatus(status("r2", 20));
    (void)change.next(at(130));
    change.quiesced(InstanceName{"one"}, LogPosition{}, Seconds{60}, at(140));
    change.replicationStopped(status("r1", 20), 2);
    change.replicationStopped(status("r2", 20), 2);
    for (std::int64_t time = 150; time < 704; time += 50) {
        cr_assert(actionsOf<PromoteMember>(change.next(at(time))).empty(), "at %ld", time);
    }
    cr_assert(actionsOf<PromoteMember>(change.next(at(760))).size() == 1);
}

Test(primarychange, aMemberThatLacksAcknowledgedCommitsIsNotPromotedWhileAnotherMayHoldThem)
{
    auto change = startChange(PrimaryChangeReason::Silent, threeMembers);
    (void)change.next(at(5));
    change.proxiesListed({InstanceName{"one"}}, at(9));
    change.memberStatus(status("r1", 20));
    (void)change.next(at(130));
    change.quiesced(InstanceName{"one"}, LogPosition{Term{1, 0}, 25}, Seconds{60}, at(140));
    change.replicationStopped(status("r1", 20), 2);
    cr_assert(actionsOf<PromoteMember>(change.next(at(3000))).empty(), "the other replica holds the acknowledged commits");
    change.memberStatus(status("r2", 25));
    (void)change.next(at(3200));
    change.replicationStopped(status("r2", 25), 2);
    const auto promotions = actionsOf<PromoteMember>(change.next(at(3210)));
    cr_assert(promotions.size() == 1 && promotions.front().member.text() == "r2");
}

Test(primarychange, aDrainingMemberIsNotPromotedWhereAnotherHoldsAllAcknowledged)
{
    auto change = startChange(PrimaryChangeReason::Leaving, {member("p", true), member("r1", true), member("r2")});
    (void)change.next(at(5));
    change.proxiesListed({InstanceName{"one"}}, at(9));
    change.memberStatus(status("p", 30, true));
    change.memberStatus(status("r1", 30));
    change.memberStatus(status("r2", 29));
    cr_assert(actionsOf<StopReplication>(change.next(at(130))).empty(), "commits in flight still need the replicas");
    change.quiesced(InstanceName{"one"}, LogPosition{Term{1, 0}, 29}, Seconds{60}, at(140));
    cr_assert(actionsOf<StopReplication>(change.next(at(141))).size() == 2);
    change.replicationStopped(status("r1", 30), 2);
    change.replicationStopped(status("r2", 29), 2);
    const auto promotions = actionsOf<PromoteMember>(change.next(at(150)));
    cr_assert(promotions.size() == 1 && promotions.front().member.text() == "r2");
}

Test(primarychange, theNewPrimaryIsRecordedOnlyOnceItReportsThatItLeads)
{
    auto change = startChange(PrimaryChangeReason::Silent, threeMembers);
    (void)change.next(at(5));
    change.proxiesListed({}, at(9));
    change.memberStatus(status("r1", 20));
    change.memberStatus(status("r2", 20));
    (void)change.next(at(130));
    change.replicationStopped(status("r1", 20), 2);
    change.replicationStopped(status("r2", 20), 2);
    const auto promotions = actionsOf<PromoteMember>(change.next(at(140)));
    cr_assert(promotions.size() == 1);
    const auto chosen = promotions.front().member;
    change.promoted(chosen, PromotionOutcome::Accepted, at(150));
    auto actions = change.next(at(151));
    cr_assert(actionsOf<StoreRecord>(actions).empty() && actionsOf<QueryMember>(actions).size() == 1);
    change.memberStatus({chosen, {true, 3, LogPosition{Term{3, 0}, 20}}});
    actions = change.next(at(800));
    const auto stored = actionsOf<StoreRecord>(actions);
    cr_assert(stored.size() == 1);
    cr_assert(stored.front().record.primary == chosen && stored.front().record.generation == 2 && !stored.front().record.changeInProgress);
    const auto demotions = actionsOf<DemoteMember>(actions);
    cr_assert(demotions.size() == 1 && demotions.front().term == 3);
    change.recorded(Revision{15}, at(805));
    cr_assert(change.finished());
}

Test(primarychange, aPromotionRequestedByAnEarlierLeaseHolderIsRecorded)
{
    PrimaryChange change({GroupName{"g"}, MemberName{"p"}, 1, true, Revision{10}}, PrimaryChangeReason::Resumed, at(0), at(0));
    change.setMembers(threeMembers);
    cr_assert(actionsOf<StoreRecord>(change.next(at(0))).empty(), "the change is already recorded");
    change.proxiesListed({}, at(5));
    change.memberStatus(status("r1", 20, true, 4));
    change.memberStatus(status("r2", 20, false, 4));
    const auto stops = actionsOf<StopReplication>(change.next(at(130)));
    cr_assert(stops.size() == 2 && stops.front().term == 5);
    change.replicationStopped(status("r1", 20, true, 4), 5);
    change.replicationStopped(status("r2", 20, false, 4), 5);
    (void)change.next(at(140));
    const auto actions = change.next(at(141));
    const auto stored = actionsOf<StoreRecord>(actions);
    cr_assert(stored.size() == 1 && stored.front().record.primary.text() == "r1");
    // Seen on deploy/days/outage-over-a-move, seed 5: the replica stayed stopped, and lacked 112 acknowledged commits when it was promoted.
    cr_assert(actionsOf<ResumeReplication>(actions).size() == 2, "the replicas that this change stopped are resumed");
}

Test(primarychange, theOnlyRegisteredReplicaIsNotPromotedWhenItLacksAcknowledgedCommits)
{
    auto change = startChange(PrimaryChangeReason::Stalled, {member("p"), member("r1")});
    (void)change.next(at(5));
    change.proxiesListed({InstanceName{"one"}}, at(9));
    change.memberStatus(status("p", 40, true));
    change.memberStatus(status("r1", 3));
    (void)change.next(at(130));
    change.quiesced(InstanceName{"one"}, LogPosition{Term{1, 0}, 36}, Seconds{60}, at(140));
    change.replicationStopped(status("r1", 3), 2);
    cr_assert(actionsOf<PromoteMember>(change.next(at(150))).empty());
    (void)change.next(at(1000));
    const auto actions = change.next(at(1130));
    cr_assert(actionsOf<PromoteMember>(actions).empty());
    const auto stored = actionsOf<StoreRecord>(actions);
    cr_assert(stored.size() == 1 && stored.front().record.primary.text() == "p", "the old primary continues");
    cr_assert(actionsOf<ResumeReplication>(actions).size() == 1);
}

Test(primarychange, aMemberThatDoesNotRunIsReplacedByTheNext)
{
    auto change = startChange(PrimaryChangeReason::Silent, threeMembers);
    (void)change.next(at(5));
    change.proxiesListed({}, at(9));
    change.memberStatus(status("r1", 21));
    change.memberStatus(status("r2", 20));
    (void)change.next(at(130));
    change.replicationStopped(status("r1", 21), 2);
    change.replicationStopped(status("r2", 20), 2);
    cr_assert(actionsOf<PromoteMember>(change.next(at(140))).front().member.text() == "r1");
    change.promoted(MemberName{"r1"}, PromotionOutcome::Refused, at(150));
    const auto promotions = actionsOf<PromoteMember>(change.next(at(151)));
    cr_assert(promotions.size() == 1 && promotions.front().member.text() == "r2");
}

Test(primarychange, aPromotionWithoutAReplyOfThePlatformIsRequestedAgain)
{
    auto change = startChange(PrimaryChangeReason::Silent, threeMembers);
    (void)change.next(at(5));
    change.proxiesListed({}, at(9));
    change.memberStatus(status("r1", 20));
    change.memberStatus(status("r2", 20));
    (void)change.next(at(130));
    change.replicationStopped(status("r1", 20), 2);
    change.replicationStopped(status("r2", 20), 2);
    const auto first = actionsOf<PromoteMember>(change.next(at(140))).front().member;
    change.promoted(first, PromotionOutcome::Unknown, at(1140));
    const auto again = actionsOf<PromoteMember>(change.next(at(1300)));
    cr_assert(again.size() == 1 && again.front().member == first);
}

// The store came back from an older copy, and no lease holder remembers the newest record.
Test(primarychange, anUnverifiedRecordIsSettledWithoutAPromotionWhereOneMemberLeads)
{
    PrimaryChange change({GroupName{"g"}, MemberName{"p"}, 9, true, Revision{10}}, PrimaryChangeReason::Unverified, at(0), at(0));
    change.setMembers(threeMembers);
    (void)change.next(at(5));
    change.proxiesListed({InstanceName{"one"}}, at(9));
    change.memberStatus(status("p", 30, false, 4));
    change.memberStatus(status("r1", 31, true, 4));
    cr_assert(actionsOf<StopReplication>(change.next(at(130))).empty());
    change.quiesced(InstanceName{"one"}, LogPosition{Term{4, 0}, 31}, Seconds{60}, at(140));
    change.memberStatus(status("r2", 30, false, 4));
    (void)change.next(at(150));
    const auto actions = change.next(at(151));
    const auto stored = actionsOf<StoreRecord>(actions);
    cr_assert(stored.size() == 1 && stored.front().record.primary.text() == "r1" && stored.front().record.generation == 10);
    cr_assert(actionsOf<PromoteMember>(actions).empty());
}

Test(primarychange, anUnverifiedLeaderOfAnOlderTermIsNotKept)
{
    PrimaryChange change({GroupName{"g"}, MemberName{"p"}, 9, true, Revision{10}}, PrimaryChangeReason::Unverified, at(0), at(0));
    change.setMembers(threeMembers);
    (void)change.next(at(5));
    change.proxiesListed({InstanceName{"one"}}, at(9));
    change.memberStatus(status("p", 30, true, 4));
    change.memberStatus(status("r2", 30, false, 5));
    change.quiesced(InstanceName{"one"}, LogPosition{Term{4, 0}, 29}, Seconds{60}, at(140));
    cr_assert(actionsOf<StoreRecord>(change.next(at(150))).empty(), "r1 was promoted to term 5, which only r2 shows");
    const auto stops = actionsOf<StopReplication>(change.next(at(1050)));
    cr_assert(stops.size() == 2, "the recorded primary is a candidate like the others");
    cr_assert(stops.front().term == 6);
}

// Found by the soak (seed 71003): a member whose promotion had not been answered was not asked, and the one before it was recorded beside
// it.
Test(primarychange, anUnverifiedLeaderIsNotKeptWhileAnotherMemberMayLead)
{
    PrimaryChange change({GroupName{"g"}, MemberName{"p"}, 9, true, Revision{10}}, PrimaryChangeReason::Unverified, at(0), at(400));
    change.setMembers(threeMembers);
    (void)change.next(at(5));
    change.proxiesListed({InstanceName{"one"}}, at(9));
    change.quiesced(InstanceName{"one"}, LogPosition{Term{4, 0}, 30}, Seconds{60}, at(20));
    change.memberStatus(status("p", 30, true, 4));
    change.memberStatus(status("r2", 30, false, 4));
    (void)change.next(at(200));
    cr_assert(actionsOf<QueryMember>(change.next(at(410))).size() == 3, "all are asked again once nothing is pending");
    change.memberStatus(status("p", 30, true, 4));
    change.memberStatus(status("r2", 30, false, 4));
    cr_assert(actionsOf<StoreRecord>(change.next(at(415))).empty(), "r1 may lead at a higher term");
    change.memberStatus(status("r1", 30, false, 4));
    (void)change.next(at(420));
    const auto stored = actionsOf<StoreRecord>(change.next(at(421)));
    cr_assert(stored.size() == 1 && stored.front().record.primary.text() == "p");
}
