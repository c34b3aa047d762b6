// Tests of the retry decisions, names of prepared statements, the routing table, the member directory and the pool placement.
#include "relay/callersession.h"
#include "relay/directory.h"
#include "relay/poolplacement.h"
#include "relay/retrydecision.h"
#include "relay/routingtable.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>

using namespace cardamomstep;
using namespace cardamomstep::relay;

Test(relay, onlyReadsAndStatementsThatDidNotRunAreSentAgain)
{
    cr_assert(classifyFailure(RetryClass::Read, ExchangeEnd::Broken, std::nullopt).mayResend);
    cr_assert(!classifyFailure(RetryClass::Write, ExchangeEnd::Broken, std::nullopt).mayResend);
    cr_assert(!classifyFailure(RetryClass::CommitOfWrites, ExchangeEnd::Silent, std::nullopt).mayResend);
    cr_assert(classifyFailure(RetryClass::Write, ExchangeEnd::Refused, MemberFault::Busy).mayResend);
    cr_assert(!classifyFailure(RetryClass::InTransaction, ExchangeEnd::Refused, MemberFault::Busy).mayResend);
    cr_assert(!classifyFailure(RetryClass::Write, ExchangeEnd::Refused, MemberFault::Failed).mayResend);
}

Test(relay, aWriteWithoutAReplyIsNeverReportedAsNotRun)
{
    for (const auto retryClass : {RetryClass::Write, RetryClass::CommitOfWrites}) {
        for (const auto end : {ExchangeEnd::Broken, ExchangeEnd::Silent}) {
            cr_assert(classifyFailure(retryClass, end, std::nullopt).error.ran == Ran::Unknown);
        }
    }
    cr_assert(classifyFailure(RetryClass::InTransaction, ExchangeEnd::Broken, std::nullopt).error.ran == Ran::No);
    cr_assert(classifyFailure(RetryClass::CommitOfReads, ExchangeEnd::Silent, std::nullopt).error.ran == Ran::No);
}

Test(relay, anOlderConfigurationIsRejected)
{
    RoutingTable table;
    Configuration newer;
    newer.version = 9;
    cr_assert(table.accept(newer));
    Configuration older;
    older.version = 7;
    cr_assert(!table.accept(older));
    cr_assert(table.version() == 9);
}

Test(relay, membersAreKeptWhenTheirEntriesExpireDuringAnOutage)
{
    MemberDirectory directory;
    MemberEntry member;
    member.name = MemberName{"m"};
    const TimePoint start{Seconds{100}};
    directory.put(member, start, start);
    directory.storeFailed(start);
    directory.replaceAll({}, start, start + Seconds{1});
    cr_assert_not_null(directory.find(member.name));
    cr_assert(!directory.expire(start + Seconds{2}));
    cr_assert(directory.expire(start + Seconds{3}));
    cr_assert_null(directory.find(member.name));
    directory.put(member, start, start);
    directory.remove(member.name, start + Seconds{10});
    cr_assert_null(directory.find(member.name), "a removal while the store is healthy takes effect at once");
}

namespace {

InstanceSet fleetOf(int proxies, int domains)
{
    std::vector<LiveInstance> instances;
    for (int index = 0; index < proxies; ++index) {
        const auto number = std::to_string(index);
        instances.push_back({InstanceName{"proxy-" + number}, FailureDomain{"d" + std::to_string(index % domains)}, Address{"a" + number}});
    }
    return InstanceSet(instances);
}

} // namespace

Test(relay, everyProxyOfASmallFleetHasAPool)
{
    const auto fleet = fleetOf(6, 3);
    const auto placement = placePools(fleet, 36);
    cr_assert(placement.poolsPerDomain == 0 && placement.poolCount == 6);
    cr_assert(!forwardTo(fleet, placement, GroupName{"g"}, fleet.instances().front(), 1));
    cr_assert(placePools(fleetOf(7, 3), 14).poolsPerDomain == 0, "two connections per proxy are enough (convenio-cantabrico)");
    cr_assert(placePools(fleetOf(9, 3), 14).poolsPerDomain == 0, "adding and replacing a machine change nothing");
}

// With 62 proxies and 40 connections per member, an idle transaction blocks all other statements of a proxy whose pool has one connection
// (convenio-cantabrico-grown).
Test(relay, withFewConnectionsOnlySomeProxiesOfEachDomainHavePools)
{
    const auto fleet = fleetOf(62, 3);
    const auto placement = placePools(fleet, 38);
    cr_assert(placement.poolsPerDomain == 2 && placement.poolCount == 6);
    std::map<Address, int> sessions;
    for (const auto &self : fleet.instances()) {
        for (std::uint64_t caller = 0; caller < 10; ++caller) {
            const auto target = forwardTo(fleet, placement, GroupName{"g"}, self, caller);
            if (target) {
                cr_assert(target->domain == self.domain, "a session stays in its failure domain");
                cr_assert(!forwardTo(fleet, placement, GroupName{"g"}, *target, caller), "a proxy with a pool forwards no session");
                ++sessions[target->address];
            }
        }
    }
    cr_assert(sessions.size() == 6);
}

// `EXECUTE s1 salary0 100` of the shape "q2c wide" reached the member as an execution of another session's "q2c" with the item "wide".
Test(relay, preparedNamesAreOneFieldAndDistinct)
{
    constexpr std::size_t maxNameBytes = 200;
    const auto isField = [](const std::string &name) {
        return !name.empty() && name.size() <= maxNameBytes
            && std::all_of(name.begin(), name.end(), [](char character) { return character > ' ' && character < '\x7f'; });
    };
    cr_assert(preparedNameOf({Access::Write, "q2c"}) == "w_q2c");
    const bool passed = rc::check("names of prepared statements", [&isField](const std::string &shape, const std::string &other) {
        const std::string longShape(1'000, 'x');
        const auto name = preparedNameOf({Access::Read, shape});
        RC_ASSERT(isField(name) && isField(preparedNameOf({Access::Read, longShape + shape})));
        RC_ASSERT((name == preparedNameOf({Access::Read, other})) == (shape == other));
        RC_ASSERT((preparedNameOf({Access::Read, longShape + shape}) == preparedNameOf({Access::Read, longShape + other}))
                  == (shape == other));
        RC_ASSERT(name != preparedNameOf({Access::Write, shape}));
        RC_ASSERT(name != preparedNameOf({Access::Read, shape + " wide"}));
    });
    cr_assert(passed);
}
