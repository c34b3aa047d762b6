// Named failures of a group in virtual time, each with the monitors of several proxies.
#include "cluster.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace cardamomstep;
using namespace cardamomstep::testing;

namespace {

/// Brings up a confirmed primary and some acknowledged writes.
void start(Cluster &cluster)
{
    cr_assert(cluster.runUntilConfirmed(0, Milliseconds{1000}), "no primary at the start");
    cluster.run(Milliseconds{400});
}

void expectWhole(Cluster &cluster)
{
    cluster.settle();
    const auto fault = cluster.fault();
    cr_assert(fault.empty(), "%s", fault.c_str());
    for (const auto &member : cluster.members) {
        cr_expect(member.log.size() + 20 > cluster.members[cluster.primary()].log.size(), "%s is behind", member.name.text().c_str());
    }
}

} // namespace

Test(groups, membersWithoutTermGetAPrimary)
{
    Cluster cluster;
    start(cluster);
    cr_assert_eq(cluster.promotions(), 1);
    cr_assert(cluster.acked.size() > 50);
    expectWhole(cluster);
    cr_assert_eq(cluster.promotions(), 1);
}

Test(groups, killedPrimaryIsReplaced)
{
    Cluster cluster;
    start(cluster);
    const auto before = cluster.term();
    const int old = cluster.primary();
    cluster.kill(old);
    cr_assert(cluster.runUntilConfirmed(before.number, Milliseconds{1000}));
    cluster.run(Milliseconds{200});
    cr_assert_neq(cluster.primary(), old);
    cr_assert_eq(cluster.promotions(), 2);
    cr_assert(cluster.ackedSince(cluster.now - Milliseconds{100}, cluster.term()) > 0);
    expectWhole(cluster);
}
