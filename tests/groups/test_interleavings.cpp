// Random faults in random order, and the distribution of failover times over many seeds.
#include "cluster.h"

#include "groups/pacing.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>

using namespace cardamomstep;
using namespace cardamomstep::testing;

namespace {

constexpr unsigned faultKinds = 11;

void injectFault(Cluster &cluster, Random &random)
{
    const auto members = cluster.members.size();
    const int member = static_cast<int>(random.below(members));
    const int other = static_cast<int>(random.below(members));
    const int proxy = static_cast<int>(random.below(cluster.proxies.size()));
    switch (random.below(faultKinds)) {
    case 0:
        cluster.kill(member, random.below(2) == 0);
        break;
    case 1:
    case 2:
        cluster.restart(member);
        break;
    case 3:
        cluster.freeze(member);
        break;
    case 4:
        cluster.wake(member);
        break;
    case 5:
        cluster.cutMembers(member, other);
        break;
    case 6:
        cluster.cutProxy(proxy, member);
        break;
    case 7:
        cluster.cutProxies(proxy, static_cast<int>(random.below(cluster.proxies.size())));
        break;
    case 8:
        cluster.members[member].lag = Milliseconds{random.below(300)};
        break;
    case 9:
        cluster.setLeaving(member, !cluster.members[member].leaving);
        break;
    default:
        cluster.heal();
        break;
    }
}

ClusterOptions randomOptions(std::uint64_t seed)
{
    Random random{seed};
    ClusterOptions options;
    options.seed = seed;
    options.members = random.below(4) == 0 ? 5 : 3;
    options.ranks = {
        static_cast<unsigned>(random.below(2)), static_cast<unsigned>(random.below(3)), static_cast<unsigned>(random.below(3))};
    options.loss = static_cast<unsigned>(random.below(3)) * 20;
    options.jitter = Microseconds{500 + random.below(6000)};
    return options;
}

void injectFaults(Cluster &cluster, Random &random)
{
    const auto steps = 3 + random.below(12);
    for (std::uint64_t step = 0; step < steps; ++step) {
        cluster.run(Milliseconds{1 + random.below(random.below(2) == 0 ? 30 : 500)});
        injectFault(cluster, random);
    }
    if (random.below(3) == 0) {
        cluster.killProxy(static_cast<int>(random.below(2)));
    }
    cluster.run(Milliseconds{random.below(500)});
}

} // namespace

Test(groups, noInterleavingLosesAnAcknowledgedWrite, .timeout = 120)
{
    const bool holds = rc::check("acknowledged writes survive, and one term acknowledges at a time", [](std::uint64_t seed) {
        Random random{seed};
        Cluster cluster{randomOptions(seed)};
        injectFaults(cluster, random);
        cluster.clearLeaving();
        cluster.recoverAll(Milliseconds{5000});
        const auto acked = cluster.acked.size();
        const auto violation = cluster.findViolation();
        RC_ASSERT(violation == std::string{});
        cluster.run(Milliseconds{500});
        RC_ASSERT(cluster.acked.size() > acked);
    });
    cr_assert(holds);
}

Test(groups, everyReachableMajorityGetsAPrimary, .timeout = 120)
{
    const bool holds = rc::check("a majority that one proxy reaches has a primary within three seconds", [](std::uint64_t seed) {
        Random random{seed};
        Cluster cluster{randomOptions(seed)};
        injectFaults(cluster, random);
        // No member is leaving from now on, because a switchover could be in progress, without a primary, at the time of the check.
        cluster.clearLeaving();
        cluster.recoverAll(Milliseconds{0});
        const int dead = static_cast<int>(random.below(cluster.members.size()));
        cluster.kill(dead, random.below(2) == 0);
        const auto recoveredAt = cluster.now;
        cluster.run(Milliseconds{3000});
        RC_ASSERT(cluster.primary() != dead);
        RC_ASSERT(cluster.primary() >= 0);
        RC_ASSERT(cluster.ackedSince(recoveredAt, cluster.term()) > 0U);
        const auto violation = cluster.findViolation();
        RC_ASSERT(violation == std::string{});
    });
    cr_assert(holds);
}

namespace {

enum class Failure {
    Process,
    Host,
    Freeze,
    Cut,
};

/// Returns the time from the failure to the next confirmed primary in milliseconds; -1 when there was none.
double failoverTime(const ClusterOptions &options, Failure failure)
{
    Cluster cluster{options};
    cluster.runUntilConfirmed(0, Milliseconds{10'000});
    cluster.run(Milliseconds{300 + options.seed % 50});
    const auto before = cluster.term().number;
    const int oldPrimary = cluster.primary();
    const auto failedAt = cluster.now;
    if (failure == Failure::Freeze) {
        cluster.freeze(oldPrimary);
    } else if (failure == Failure::Cut) {
        cluster.cutMembers(oldPrimary, (oldPrimary + 1) % 3);
        cluster.cutMembers(oldPrimary, (oldPrimary + 2) % 3);
    } else {
        cluster.kill(oldPrimary, failure == Failure::Host);
    }
    if (!cluster.runUntilConfirmed(before, Milliseconds{10'000})) {
        return -1;
    }
    return std::chrono::duration<double, std::milli>(cluster.now - failedAt).count();
}

struct Target {
    double median;
    double worst;
};

void measure(const char *name, ClusterOptions options, Failure failure, const Target &target)
{
    constexpr std::uint64_t seeds = 200;
    std::vector<double> failoverTimes;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        failoverTimes.push_back(failoverTime(options, failure));
    }
    std::sort(failoverTimes.begin(), failoverTimes.end());
    const auto median = failoverTimes[failoverTimes.size() / 2];
    std::printf("failover gap, %s, %.1f ms one way, %zu seeds, virtual time: least %.0f, median %.0f, p95 %.0f, worst %.0f ms\n",
                name,
                static_cast<double>(options.delay.count()) / 1000,
                failoverTimes.size(),
                failoverTimes.front(),
                median,
                failoverTimes[failoverTimes.size() * 95 / 100],
                failoverTimes.back());
    std::fflush(stdout);
    cr_expect(failoverTimes.front() >= 0, "%s: no new primary", name);
    cr_expect(median <= target.median, "%s: median %.0f ms", name, median);
    cr_expect(failoverTimes.back() <= target.worst, "%s: worst %.0f ms", name, failoverTimes.back());
}

} // namespace

Test(groups, failoverTimeIsWithinItsTargets, .timeout = 120)
{
    const Target target{300, 1000};
    for (const auto delay : {Microseconds{3500}, Microseconds{3000}}) {
        ClusterOptions options;
        options.delay = delay;
        measure("process killed", options, Failure::Process, target);
        measure("host lost", options, Failure::Host, target);
        measure("process frozen", options, Failure::Freeze, target);
        // The primary is not dead here: the replication bound sets the time, so the median's target does not apply.
        measure("cut from its peers", options, Failure::Cut, Target{1000, 1000});
        options.loss = 10;
        measure("process killed, 1% of messages lost", options, Failure::Process, target);
    }
}

Test(groups, failoverTimeWithThePacedReportsOfALargeFleet, .timeout = 120)
{
    const auto pacing = paceReports(19, 57);
    ClusterOptions options;
    options.policy.heartbeatInterval = pacing.heartbeatInterval;
    options.policy.replicaHeartbeatFactor = pacing.replicaHeartbeatFactor;
    const Target target{5000, 5000};
    measure("process killed, paced reports", options, Failure::Process, target);
    measure("host lost, paced reports", options, Failure::Host, target);
    options.writes = false;
    measure("host lost, paced reports, idle group", options, Failure::Host, target);
}

Test(groups, sameSeedGivesTheSameActions)
{
    const auto run = [](std::uint64_t seed) {
        Random random{seed};
        Cluster cluster{randomOptions(seed)};
        injectFaults(cluster, random);
        std::vector<std::pair<TimePoint, std::size_t>> actions;
        for (const auto &[when, action] : cluster.events) {
            actions.emplace_back(when, action.index());
        }
        return actions;
    };
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        cr_assert(run(seed) == run(seed));
    }
}
