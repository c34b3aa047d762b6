// Specific failures of a group in virtual time, with the monitors of several proxies.
#include "cluster.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <utility>

using namespace cardamomstep;
using namespace cardamomstep::testing;

namespace {

/// Runs until there is a confirmed primary and some acknowledged writes.
void start(Cluster &cluster)
{
    cr_assert(cluster.runUntilConfirmed(0, Milliseconds{1000}), "no primary at the start");
    cluster.run(Milliseconds{400});
}

/// Ends all faults; then no acknowledged write may be lost, and every member must have the primary's term and nearly all of its log.
void recoverAndCheck(Cluster &cluster)
{
    cluster.recoverAll();
    const auto violation = cluster.findViolation();
    cr_assert(violation.empty(), "%s", violation.c_str());
    const auto newest = cluster.members[cluster.primary()].log.size();
    for (const auto &member : cluster.members) {
        cr_expect(member.log.size() + 20 > newest, "%s is behind: %zu of %zu", member.name.text().c_str(), member.log.size(), newest);
        cr_expect(member.adopted == cluster.term());
    }
}

int replicaOf(const Cluster &cluster)
{
    return cluster.primary() == 0 ? 1 : 0;
}

bool isOrder(const GroupAction &action)
{
    return std::holds_alternative<SendAdopt>(action) || std::holds_alternative<SendLead>(action)
        || std::holds_alternative<SendFollow>(action);
}

} // namespace

Test(groups, membersWithoutTermGetAPrimary)
{
    Cluster cluster;
    start(cluster);
    cr_assert_eq(cluster.promotions(), 1);
    cr_assert(cluster.acked.size() > 50);
    recoverAndCheck(cluster);
    cr_assert_eq(cluster.promotions(), 1);
}

Test(groups, singleMemberIsPrimaryAgainAfterARestart)
{
    ClusterOptions options;
    options.members = 1;
    Cluster cluster{options};
    start(cluster);
    cluster.kill(0);
    cluster.run(Milliseconds{500});
    recoverAndCheck(cluster);
    cr_assert_eq(cluster.promotions(), 2);
}

Test(groups, killedPrimaryIsReplaced)
{
    for (const bool host : {false, true}) {
        Cluster cluster;
        start(cluster);
        const auto before = cluster.term();
        const int oldPrimary = cluster.primary();
        cluster.kill(oldPrimary, host);
        cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1000}));
        cluster.run(Milliseconds{200});
        cr_assert_neq(cluster.primary(), oldPrimary);
        cr_assert_eq(cluster.promotions(), 2);
        cr_assert(cluster.ackedSince(cluster.now - Milliseconds{100}, cluster.term()) > 0);
        recoverAndCheck(cluster);
    }
}

Test(groups, primaryCutFromItsPeersIsReplacedAlthoughItAcceptsWrites)
{
    // With connections of every proxy to it, and with those of the first proxy only.
    for (const bool onlyFirstProxyConnected : {false, true}) {
        Cluster cluster;
        start(cluster);
        const auto before = cluster.term();
        const int oldPrimary = cluster.primary();
        for (int other = 0; other < 3; ++other) {
            if (other != oldPrimary) {
                cluster.cutMembers(oldPrimary, other);
            }
        }
        if (onlyFirstProxyConnected) {
            cluster.cutProxy(1, oldPrimary);
            cluster.cutProxy(2, oldPrimary);
            cluster.killProxy(2);
        }
        const auto cutAt = cluster.now;
        cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1000}));
        cluster.run(Milliseconds{500});
        cr_assert_neq(cluster.primary(), oldPrimary);
        cr_assert_eq(cluster.ackedSince(cutAt + Milliseconds{10}, before), 0);
        cr_assert(cluster.ackedSince(cutAt, cluster.term()) > 0);
        recoverAndCheck(cluster);
    }
}

Test(groups, frozenPrimaryAcknowledgesNothingAfterItWakes)
{
    Cluster cluster;
    start(cluster);
    const auto before = cluster.term();
    const int oldPrimary = cluster.primary();
    cluster.freeze(oldPrimary);
    const auto frozenAt = cluster.now;
    cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1000}));
    cluster.run(Milliseconds{300});
    cluster.wake(oldPrimary);
    cluster.run(Milliseconds{1000});
    cr_assert_eq(cluster.ackedSince(frozenAt, before), 0);
    cr_assert_neq(cluster.primary(), oldPrimary);
    cr_assert_eq(cluster.promotions(), 2);
    recoverAndCheck(cluster);
}

Test(groups, pauseShorterThanTheBoundCausesNoPromotion)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        ClusterOptions options;
        options.seed = seed;
        options.writes = seed % 2 == 0;
        options.policy.silenceBound = seed % 5 == 0 ? Milliseconds{1000} : Milliseconds{200};
        options.delay = seed % 3 == 0 ? Microseconds{3000} : Microseconds{3500};
        Cluster cluster{options};
        start(cluster);
        cluster.run(Milliseconds{seed});
        const auto paused = cluster.primary();
        cluster.freeze(paused);
        cluster.run(options.policy.silenceBound - Milliseconds{1});
        cluster.wake(paused);
        cluster.run(Milliseconds{1000});
        cr_assert_eq(cluster.count(AuditEventKind::PromotionStarted), 1, "seed %u", static_cast<unsigned>(seed));
    }
}

Test(groups, lostPathOfOneProxyCausesNoPromotion)
{
    Cluster cluster;
    start(cluster);
    cluster.cutProxy(0, cluster.primary());
    cluster.run(Milliseconds{3000});
    cr_assert_eq(cluster.count(AuditEventKind::PromotionStarted), 1);
    cr_assert(cluster.count(AuditEventKind::SuspicionOverruled) > 0);
    recoverAndCheck(cluster);
    cr_assert_eq(cluster.promotions(), 1);
}

// A promotion by another owner ended a suspicion, and the event named the new primary, which nobody had suspected.
Test(groups, aClearedSuspicionNamesTheMemberThatWasSuspected)
{
    std::size_t cleared = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ClusterOptions options;
        options.seed = seed;
        options.ranks = {0, 1, 2};
        Cluster cluster{options};
        start(cluster);
        cluster.freeze(cluster.primary());
        cluster.run(Milliseconds{3000});
        std::set<std::pair<MemberName, Term>> suspected;
        for (const auto &[when, action] : cluster.events) {
            const auto *event = std::get_if<AuditEvent>(&action);
            if (event != nullptr && event->kind == AuditEventKind::PrimarySuspected) {
                suspected.emplace(event->member, event->term);
            }
            if (event != nullptr && event->kind == AuditEventKind::SuspicionCleared) {
                ++cleared;
                const bool known = suspected.contains({event->member, event->term});
                cr_assert(known, "seed %u: %s", static_cast<unsigned>(seed), event->member.text().c_str());
            }
        }
    }
    cr_assert(cleared > 0);
}

Test(groups, ownersThatDisagreeOnRanksConverge)
{
    const std::vector<std::vector<unsigned>> rankings{{0, 0}, {0, 0, 0}, {1, 2}, {2, 2, 2}, {0}};
    for (const auto &ranks : rankings) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            ClusterOptions options;
            options.seed = seed;
            options.ranks = ranks;
            Cluster cluster{options};
            start(cluster);
            const auto before = cluster.term();
            cluster.kill(cluster.primary());
            cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1000}), "seed %u", static_cast<unsigned>(seed));
            recoverAndCheck(cluster);
        }
    }
}

Test(groups, concurrentPromotionsLeaveOnePrimary)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        ClusterOptions options;
        options.seed = seed;
        options.ranks = {0, 0};
        options.jitter = Microseconds{3000};
        Cluster cluster{options};
        start(cluster);
        const auto before = cluster.term();
        const auto attempts = cluster.count(AuditEventKind::PromotionStarted);
        cluster.kill(cluster.primary(), true);
        cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1500}), "seed %u", static_cast<unsigned>(seed));
        cr_assert(cluster.count(AuditEventKind::PromotionStarted) >= attempts + 1);
        recoverAndCheck(cluster);
    }
}

Test(groups, promotionIsCompletedWhenItsProxyDiesBetweenAnyTwoOrders)
{
    for (unsigned step = 1; step <= 7; ++step) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            ClusterOptions options;
            options.seed = seed;
            Cluster cluster{options};
            start(cluster);
            const auto before = cluster.term();
            unsigned orders = 0;
            cluster.beforeAction = [&](int proxy, const GroupAction &action) {
                if (proxy == 0 && isOrder(action) && ++orders == step) {
                    cluster.killProxy(0);
                    return false;
                }
                return true;
            };
            cluster.kill(cluster.primary());
            cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1500}), "step %u seed %u", step, static_cast<unsigned>(seed));
            recoverAndCheck(cluster);
        }
    }
}

Test(groups, memberWithALongerLogOfALowerTermIsNotPromoted)
{
    ClusterOptions options;
    options.writes = false;
    Cluster cluster{options};
    const Term first{1, 1};
    const Term second{2, 1};
    const Term third{3, 1};
    for (int member = 0; member < 3; ++member) {
        cluster.append(member, first, 2);
        cluster.members[member].adopted = third;
    }
    cluster.append(1, third, 1);
    cluster.append(2, second, 9);
    cluster.kill(0);
    cr_assert(cluster.runUntilConfirmed(3, Milliseconds{1000}));
    cr_assert_eq(cluster.primary(), 1);
    recoverAndCheck(cluster);
    cr_assert(cluster.members[2].log == cluster.members[1].log);
}

Test(groups, replicaWithTheFurtherLogIsPromotedWhenBothAreBehind)
{
    Cluster cluster;
    start(cluster);
    const auto before = cluster.term();
    const int oldPrimary = cluster.primary();
    const int nearReplica = replicaOf(cluster);
    const int farReplica = 3 - oldPrimary - nearReplica;
    cluster.members[nearReplica].lag = Milliseconds{150};
    cluster.members[farReplica].lag = Milliseconds{300};
    cluster.run(Milliseconds{1000});
    cluster.kill(oldPrimary);
    cluster.members[nearReplica].lag = cluster.members[farReplica].lag = Milliseconds{0};
    const bool nearReplicaIsAhead = cluster.members[nearReplica].position() > cluster.members[farReplica].position();
    cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1000}));
    cr_assert(!nearReplicaIsAhead || cluster.primary() == nearReplica);
    cr_assert_neq(cluster.primary(), oldPrimary);
    recoverAndCheck(cluster);
}

Test(groups, candidateFailingDuringThePromotionIsReplaced)
{
    ClusterOptions options;
    options.members = 5;
    Cluster cluster{options};
    start(cluster);
    const auto before = cluster.term();
    int candidate = -1;
    cluster.beforeAction = [&](int, const GroupAction &action) {
        const auto *lead = std::get_if<SendLead>(&action);
        if (lead != nullptr && candidate < 0) {
            candidate = lead->member.text()[1] - '0';
            cluster.kill(candidate);
        }
        return true;
    };
    const int oldPrimary = cluster.primary();
    cluster.kill(oldPrimary);
    cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{2000}));
    cr_assert(candidate >= 0 && cluster.primary() != oldPrimary && cluster.primary() != candidate);
    cluster.beforeAction = nullptr;
    recoverAndCheck(cluster);
}

Test(groups, minorityGetsNoPrimary)
{
    Cluster cluster;
    start(cluster);
    const auto before = cluster.term();
    cluster.kill(cluster.primary());
    cluster.kill(replicaOf(cluster));
    const auto killedAt = cluster.now;
    cr_assert(!cluster.runUntilConfirmed(before.number, Milliseconds{3000}));
    cr_assert_eq(cluster.promotions(), 1);
    cr_assert_eq(cluster.ackedSince(killedAt, before), 0);
    recoverAndCheck(cluster);
}

Test(groups, returningMemberWithADivergentLogFollows)
{
    Cluster cluster;
    start(cluster);
    const auto before = cluster.term();
    const int oldPrimary = cluster.primary();
    cluster.kill(oldPrimary);
    cluster.append(oldPrimary, before, 25);
    cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1000}));
    cluster.run(Milliseconds{300});
    cluster.restart(oldPrimary);
    recoverAndCheck(cluster);
    cr_assert_neq(cluster.primary(), oldPrimary);
    cr_assert_eq(cluster.promotions(), 2);
}

Test(groups, restartedReplicaFollowsThePrimaryAgain)
{
    Cluster cluster;
    start(cluster);
    const int replica = replicaOf(cluster);
    for (int round = 0; round < 2; ++round) {
        cluster.kill(replica);
        cluster.run(Milliseconds{300});
        cluster.restart(replica);
        cluster.run(Milliseconds{1500});
        cr_assert(cluster.members[replica].position().index + 20 > cluster.members[cluster.primary()].position().index);
    }
    recoverAndCheck(cluster);
    cr_assert_eq(cluster.promotions(), 1);
}

Test(groups, replicasThatReturnTogetherCauseNoPromotion)
{
    Cluster cluster;
    start(cluster);
    const int oldPrimary = cluster.primary();
    for (int member = 0; member < 3; ++member) {
        if (member != oldPrimary) {
            cluster.kill(member);
        }
    }
    cluster.run(Milliseconds{1000});
    recoverAndCheck(cluster);
    cr_assert_eq(cluster.promotions(), 1);
}

Test(groups, slowReplicasGetNoRepeatedFollowOrders)
{
    ClusterOptions options;
    options.policy.replicationBound = Milliseconds{60'000};
    Cluster cluster{options};
    start(cluster);
    for (auto &member : cluster.members) {
        member.lag = Milliseconds{700};
    }
    cluster.kill(cluster.primary());
    cluster.run(Milliseconds{4000});
    const auto isFollow = [](const auto &event) {
        return std::holds_alternative<SendFollow>(event.second);
    };
    const auto follows = std::count_if(cluster.events.begin(), cluster.events.end(), isFollow);
    cr_assert(follows <= 8, "%ld orders", static_cast<long>(follows));
    cr_assert(cluster.ackedSince(TimePoint{}, cluster.term()) > 0);
    recoverAndCheck(cluster);
}

Test(groups, primaryThatRestartedAsReplicaIsReplaced)
{
    Cluster cluster;
    start(cluster);
    const auto before = cluster.term();
    const int oldPrimary = cluster.primary();
    cluster.kill(oldPrimary);
    cluster.restart(oldPrimary);
    cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1000}));
    recoverAndCheck(cluster);
}

Test(groups, memberThatAdoptedATermWithoutPrimaryRejoins)
{
    Cluster cluster;
    start(cluster);
    const auto before = cluster.term();
    const int memberWithHigherTerm = replicaOf(cluster);
    cluster.members[memberWithHigherTerm].adopted = Term{before.number + 1, 7};
    cluster.members[memberWithHigherTerm].following = -1;
    ++cluster.members[memberWithHigherTerm].pulls;
    cr_assert(cluster.runUntilConfirmed(before.number + 1, Milliseconds{2000}));
    recoverAndCheck(cluster);
}

Test(groups, switchoverChangesThePrimaryAndLosesNoWrite)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ClusterOptions options;
        options.seed = seed;
        Cluster cluster{options};
        start(cluster);
        const auto before = cluster.term();
        const int oldPrimary = cluster.primary();
        cluster.setLeaving(oldPrimary, true);
        cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1000}));
        cluster.run(Milliseconds{300});
        cr_assert_neq(cluster.primary(), oldPrimary);
        cr_assert_eq(cluster.count(AuditEventKind::SwitchoverFinished), 1);
        cr_assert(cluster.proxies[0].writesPausedUntil <= cluster.now);
        recoverAndCheck(cluster);
        cr_assert_eq(cluster.promotions(), 2);
    }
}

Test(groups, requestedSwitchoverChangesThePrimary)
{
    Cluster cluster;
    start(cluster);
    const auto before = cluster.term();
    const int oldPrimary = cluster.primary();
    cluster.requestSwitchover(cluster.members[oldPrimary].name);
    cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1000}));
    cr_assert_neq(cluster.primary(), oldPrimary);
    recoverAndCheck(cluster);
    cr_assert_eq(cluster.promotions(), 2);
}

Test(groups, primaryFailureDuringASwitchoverCausesAPromotion)
{
    Cluster cluster;
    start(cluster);
    const auto before = cluster.term();
    const int oldPrimary = cluster.primary();
    cluster.beforeAction = [&](int, const GroupAction &action) {
        if (std::holds_alternative<PauseWrites>(action)) {
            cluster.kill(oldPrimary);
        }
        return true;
    };
    cluster.setLeaving(oldPrimary, true);
    cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1000}));
    cluster.run(Milliseconds{100});
    cr_assert(cluster.proxies[0].writesPausedUntil <= cluster.now);
    cluster.beforeAction = nullptr;
    cluster.setLeaving(oldPrimary, false);
    recoverAndCheck(cluster);
}

Test(groups, withdrawnLeavingCausesNoSwitchover)
{
    Cluster cluster;
    start(cluster);
    const int oldPrimary = cluster.primary();
    for (int member = 0; member < 3; ++member) {
        if (member != oldPrimary) {
            cluster.kill(member);
        }
    }
    // Withdrawn once while no switchover can start, and once while a switchover pauses writes.
    cluster.run(Milliseconds{100});
    for (const std::size_t started : {0, 1}) {
        cluster.setLeaving(oldPrimary, true);
        cluster.requestSwitchover(cluster.members[oldPrimary].name);
        cluster.run(Milliseconds{20});
        cr_assert_eq(cluster.count(AuditEventKind::SwitchoverStarted), started);
        cluster.setLeaving(oldPrimary, false);
        cluster.requestSwitchover(MemberName{});
        cluster.recoverAll(Milliseconds{8000});
        cr_assert_eq(cluster.primary(), oldPrimary);
        cr_assert_eq(cluster.count(AuditEventKind::SwitchoverStarted), started);
        cr_assert_eq(cluster.count(AuditEventKind::SwitchoverFinished), 0);
    }
    recoverAndCheck(cluster);
}

Test(groups, switchoverIsAbandonedWhenNoReplicaCatchesUp)
{
    ClusterOptions options;
    options.policy.replicationBound = Milliseconds{60'000};
    options.policy.replicationBoundLimit = Milliseconds{60'000};
    Cluster cluster{options};
    start(cluster);
    const int oldPrimary = cluster.primary();
    for (int member = 0; member < 3; ++member) {
        cluster.members[member].lag = member == oldPrimary ? Milliseconds{0} : Milliseconds{20'000};
    }
    cluster.run(Milliseconds{100});
    cluster.setLeaving(oldPrimary, true);
    cluster.run(Milliseconds{2500});
    cr_assert_eq(cluster.primary(), oldPrimary);
    cr_assert(cluster.count(AuditEventKind::SwitchoverAbandoned) > 0);
    cr_assert(cluster.proxies[0].writesPausedUntil <= cluster.now);
    cluster.setLeaving(oldPrimary, false);
    recoverAndCheck(cluster);
}
