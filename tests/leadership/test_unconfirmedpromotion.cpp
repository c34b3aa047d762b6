// Tests of primary changes whose promotion may have taken effect without being confirmed.
#include "leadership/primarychangesteps.h"

using namespace cardamomstep;
using namespace cardamomstep::leadership;

namespace {

constexpr std::int64_t confirmTimeoutMs = PrimaryChangeLimits{}.confirmTimeout.count();
constexpr std::int64_t memberTimeoutMs = PrimaryChangeLimits{}.memberTimeout.count();

/// A planned change of "g" away from "p", in which the promotion of "r1" was requested at 150 ms; "r2" lacks acknowledged commits.
PrimaryChange changeWithPromotionOfR1()
{
    auto change = startChange(PrimaryChangeReason::Leaving, {member("p", true), member("r1"), member("r2")});
    (void)change.next(at(5));
    change.proxiesListed({InstanceName{"one"}}, at(9));
    change.memberStatus(status("p", 30, true));
    change.memberStatus(status("r1", 30));
    change.memberStatus(status("r2", 3));
    change.quiesced(InstanceName{"one"}, LogPosition{Term{1, 0}, 30}, Seconds{60}, at(140));
    (void)change.next(at(141));
    change.replicationStopped(status("r1", 30), 2);
    change.replicationStopped(status("r2", 3), 2);
    const auto promotions = actionsOf<PromoteMember>(change.next(at(150)));
    cr_assert(promotions.size() == 1 && promotions.front().member.text() == "r1");
    return change;
}

/// Answers for the members "p", which leads at \a term of "p", and "r2", once the change asks them, until it requests a promotion.
/// Returns the promoted member and the time; fails if the change records a primary.
std::pair<std::string, std::int64_t> promotionWithoutR1(PrimaryChange &change, std::int64_t from)
{
    for (auto time = from; time < from + 10'000; time += 10) {
        const auto actions = change.next(at(time));
        for (const auto &stored : actionsOf<StoreRecord>(actions)) {
            cr_assert(stored.record.changeInProgress, "%s is recorded at %ld ms", stored.record.primary.text().c_str(), time);
            cr_assert(stored.record.contested, "a lease holder that takes over must learn of a second promotion");
            change.recorded(Revision{stored.record.revision.value + 1}, at(time));
        }
        for (const auto &promotion : actionsOf<PromoteMember>(actions)) {
            return {promotion.member.text(), time};
        }
        for (const auto &query : actionsOf<QueryMember>(actions)) {
            if (query.member.text() == "p") {
                change.memberStatus(status("p", 31, true));
            } else if (query.member.text() == "r2") {
                change.memberStatus(status("r2", 3));
            }
        }
        for (const auto &stop : actionsOf<StopReplication>(actions)) {
            if (stop.member.text() == "r2") {
                change.replicationStopped(status("r2", 3), stop.term);
            }
        }
    }
    return {};
}

} // namespace

// The platform had accepted the promotion of r1, which could not be reached for 3 s. The old primary was recorded again beside it, and
// what it acknowledged then was rolled back.
Test(unconfirmedpromotion, theOldPrimaryIsNotRecordedBesideAPromotedMemberThatCannotBeReached)
{
    auto change = changeWithPromotionOfR1();
    change.promoted(MemberName{"r1"}, PromotionOutcome::Accepted, at(160));
    const auto [promoted, time] = promotionWithoutR1(change, 160);
    cr_assert(promoted == "p", "only the old primary holds all that was acknowledged");
    cr_assert(time >= 160 + confirmTimeoutMs);
    change.promoted(MemberName{"p"}, PromotionOutcome::Accepted, at(time));
    change.memberStatus(status("p", 31, true, 1));
    cr_assert(actionsOf<StoreRecord>(change.next(at(time + 10))).empty(), "its old lead proves nothing");
    change.memberStatus(status("p", 31, true, 2));
    cr_assert(actionsOf<StoreRecord>(change.next(at(time + 20))).empty(), "r1 may lead at this term");
    change.memberStatus(status("p", 31, true, 3));
    const auto actions = change.next(at(time + 600));
    const auto stored = actionsOf<StoreRecord>(actions);
    cr_assert(stored.size() == 1 && stored.front().record.primary.text() == "p");
    const auto demotions = actionsOf<DemoteMember>(actions);
    cr_assert(demotions.size() == 1 && demotions.front().member.text() == "r1" && demotions.front().term == 3);
}

// The reply to the promotion was lost, and the promoted member restarts when the request is repeated.
Test(unconfirmedpromotion, theOldPrimaryIsNotRecordedAfterALostReplyAndARefusal)
{
    auto change = changeWithPromotionOfR1();
    change.promoted(MemberName{"r1"}, PromotionOutcome::Unknown, at(1150));
    const auto again = actionsOf<PromoteMember>(change.next(at(1300)));
    cr_assert(again.size() == 1 && again.front().member.text() == "r1");
    change.promoted(MemberName{"r1"}, PromotionOutcome::Refused, at(1310));
    const auto [promoted, time] = promotionWithoutR1(change, 1310);
    cr_assert(promoted == "p");
    cr_assert(time >= 1310 + memberTimeoutMs, "the other members have time to reply");
}

// A lease holder that was lost may have promoted r1 for the change that its successor resumes.
Test(unconfirmedpromotion, theOldPrimaryIsNotRecordedByTheSuccessorOfALeaseHolder)
{
    PrimaryChange change({GroupName{"g"}, MemberName{"p"}, 1, true, Revision{10}}, PrimaryChangeReason::Resumed, at(0), at(0));
    change.setMembers(threeMembers);
    (void)change.next(at(0));
    change.proxiesListed({InstanceName{"one"}}, at(5));
    change.quiesced(InstanceName{"one"}, LogPosition{Term{1, 0}, 30}, Seconds{60}, at(6));
    const auto [promoted, time] = promotionWithoutR1(change, 10);
    cr_assert(promoted == "p");
    change.promoted(MemberName{"p"}, PromotionOutcome::Accepted, at(time));
    change.memberStatus(status("p", 31, true, 2));
    cr_assert(actionsOf<StoreRecord>(change.next(at(time + 20))).empty(), "r1 may lead at this term");
}

// The platform accepts calls and its replies are lost: what the member itself reports is as good.
Test(unconfirmedpromotion, aPromotedMemberIsRecordedAlsoWhileThePlatformsRepliesAreLost)
{
    auto change = changeWithPromotionOfR1();
    change.promoted(MemberName{"r1"}, PromotionOutcome::Unknown, at(1150));
    const auto actions = change.next(at(1300));
    cr_assert(actionsOf<PromoteMember>(actions).size() == 1 && actionsOf<QueryMember>(actions).size() == 1);
    change.memberStatus(status("r1", 30, true, 2));
    const auto stored = actionsOf<StoreRecord>(change.next(at(1310)));
    cr_assert(stored.size() == 1 && stored.front().record.primary.text() == "r1");
    change.promoted(MemberName{"r1"}, PromotionOutcome::Refused, at(2300));
    change.recorded(Revision{15}, at(2310));
    cr_assert(change.finished(), "a late reply to the repeated request changes nothing");
}

// The promoted member was only busy: it is recorded as soon as it replies, and the replicas that were stopped again are resumed.
Test(unconfirmedpromotion, aPromotedMemberThatRepliesLateIsRecorded)
{
    auto change = changeWithPromotionOfR1();
    change.promoted(MemberName{"r1"}, PromotionOutcome::Accepted, at(160));
    (void)change.next(at(160 + confirmTimeoutMs));
    change.memberStatus(status("r2", 3));
    (void)change.next(at(170 + confirmTimeoutMs));
    const auto stops = actionsOf<StopReplication>(change.next(at(300 + confirmTimeoutMs)));
    cr_assert(stops.size() == 1 && stops.front().term == 3, "above the term at which r1 may lead");
    change.replicationStopped(status("r2", 3), 3);
    change.memberStatus(status("r1", 30, true, 2));
    (void)change.next(at(310 + confirmTimeoutMs));
    const auto actions = change.next(at(320 + confirmTimeoutMs));
    const auto stored = actionsOf<StoreRecord>(actions);
    cr_assert(stored.size() == 1 && stored.front().record.primary.text() == "r1");
    cr_assert(actionsOf<ResumeReplication>(actions).size() == 1);
}

// The first promotion never took effect, as its member crashed: the old primary still leads, and its own promotion changes nothing.
Test(unconfirmedpromotion, theOldPrimaryIsRecordedOnceNoEarlierPromotionCanTakeEffect)
{
    auto change = changeWithPromotionOfR1();
    change.promoted(MemberName{"r1"}, PromotionOutcome::Accepted, at(160));
    const auto [promoted, time] = promotionWithoutR1(change, 160);
    cr_assert(promoted == "p");
    change.promoted(MemberName{"p"}, PromotionOutcome::Accepted, at(time));
    for (auto later = time; later < time + confirmTimeoutMs; later += 30) {
        change.memberStatus(status("p", 31, true));
        cr_assert(actionsOf<StoreRecord>(change.next(at(later))).empty(), "at %ld ms", later);
    }
    cr_assert(actionsOf<StoreRecord>(change.next(at(time + confirmTimeoutMs))).empty(), "only a status of now counts");
    change.memberStatus(status("p", 31, true));
    const auto stored = actionsOf<StoreRecord>(change.next(at(time + confirmTimeoutMs + 10)));
    cr_assert(stored.size() == 1 && stored.front().record.primary.text() == "p");
}

// A call that was refused before it was made promoted nobody, so the old primary may be kept at once.
Test(unconfirmedpromotion, aPromotionThatWasNotExecutedDoesNotRuleTheOldPrimaryOut)
{
    auto change = startChange(PrimaryChangeReason::Stalled, {member("p"), member("r1")});
    (void)change.next(at(5));
    change.proxiesListed({}, at(9));
    change.memberStatus(status("p", 30, true));
    change.memberStatus(status("r1", 30));
    (void)change.next(at(130));
    change.replicationStopped(status("r1", 30), 2);
    cr_assert(actionsOf<PromoteMember>(change.next(at(140))).size() == 1);
    change.promoted(MemberName{"r1"}, PromotionOutcome::NotExecuted, at(150));
    cr_assert(actionsOf<PromoteMember>(change.next(at(300))).size() == 1);
    change.promoted(MemberName{"r1"}, PromotionOutcome::Refused, at(310));
    (void)change.next(at(1020));
    const auto stored = actionsOf<StoreRecord>(change.next(at(1030)));
    cr_assert(stored.size() == 1 && stored.front().record.primary.text() == "p");
}
