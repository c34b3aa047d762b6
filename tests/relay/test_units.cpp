// Tests of the relay's small parts: outcomes, the route book, the directory.
#include "relay/directory.h"
#include "relay/poolplacement.h"
#include "relay/retrydecision.h"
#include "relay/routingtable.h"

#include <criterion/criterion.h>

#include <map>

using namespace cardamomstep;
using namespace cardamomstep::relay;

Test(relay, onlyWhatIsHarmlessIsSentAgain)
{
    cr_assert(judge(Stake::Read, ExchangeEnd::Broken, std::nullopt).mayResend);
    cr_assert(!judge(Stake::Write, ExchangeEnd::Broken, std::nullopt).mayResend);
    cr_assert(!judge(Stake::CommitOfWrites, ExchangeEnd::Silent, std::nullopt).mayResend);
    cr_assert(judge(Stake::Write, ExchangeEnd::Refused, MemberFault::Busy).mayResend);
    cr_assert(!judge(Stake::Inside, ExchangeEnd::Refused, MemberFault::Busy).mayResend);
    cr_assert(!judge(Stake::Write, ExchangeEnd::Refused, MemberFault::Failed).mayResend);
}

Test(relay, aLostWriteIsNeverToldAsNotRun)
{
    for (const auto stake : {Stake::Write, Stake::CommitOfWrites}) {
        for (const auto end : {ExchangeEnd::Broken, ExchangeEnd::Silent}) {
            cr_assert(judge(stake, end, std::nullopt).error.ran == Ran::Unknown);
        }
    }
    cr_assert(judge(Stake::Inside, ExchangeEnd::Broken, std::nullopt).error.ran == Ran::No);
    cr_assert(judge(Stake::CommitOfReads, ExchangeEnd::Silent, std::nullopt).error.ran == Ran::No);
}

Test(relay, theConfigurationNeverGoesBack)
{
    RouteBook book;
    Configuration newer;
    newer.version = 9;
    cr_assert(book.accept(newer));
    Configuration older;
    older.version = 7;
    cr_assert(!book.accept(older));
    cr_assert(book.version() == 9);
}

Test(relay, membersOutliveEntriesThatLapsedDuringAnOutage)
{
    MemberDirectory directory;
    MemberEntry member;
    member.name = MemberName{"m"};
    const TimePoint start{Seconds{100}};
    directory.put(member);
    directory.storeFailed(start);
    directory.replaceAll({}, start + Seconds{1});
    cr_assert_not_null(directory.find(member.name));
    cr_assert(!directory.expire(start + Seconds{2}));
    cr_assert(directory.expire(start + Seconds{3}));
    cr_assert_null(directory.find(member.name));
    directory.put(member);
    directory.remove(member.name, start + Seconds{10});
    cr_assert_null(directory.find(member.name), "a removal by a healthy store counts at once");
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

Test(relay, smallFleetsShareConnectionsEvenly)
{
    const auto fleet = fleetOf(6, 3);
    const auto holders = holdersFor(fleet, 36);
    cr_assert(holders.perDomain == 0 && holders.sharers == 6);
    cr_assert(!forwardTo(fleet, holders, GroupName{"g"}, fleet.instances().front(), 1));
    cr_assert(holdersFor(fleetOf(7, 3), 14).perDomain == 0, "two for each are enough (convenio-cantabrico)");
    cr_assert(holdersFor(fleetOf(9, 3), 14).perDomain == 0, "a machine that is added, and one that is replaced, change nothing");
}

// convenio-cantabrico-grown: 62 proxies, 40 connections a member. Pools of one let a resting transaction block all of its proxy.
Test(relay, fewConnectionsAreHeldByFewProxiesOfEachDomain)
{
    const auto fleet = fleetOf(62, 3);
    const auto holders = holdersFor(fleet, 38);
    cr_assert(holders.perDomain == 2 && holders.sharers == 6);
    std::map<Address, int> sessions;
    for (const auto &self : fleet.instances()) {
        for (std::uint64_t caller = 0; caller < 10; ++caller) {
            const auto target = forwardTo(fleet, holders, GroupName{"g"}, self, caller);
            if (target) {
                cr_assert(target->domain == self.domain, "a session stays in its failure domain");
                cr_assert(!forwardTo(fleet, holders, GroupName{"g"}, *target, caller), "a holder passes nothing on");
                ++sessions[target->address];
            }
        }
    }
    cr_assert(sessions.size() == 6);
}
