// Tests of the relay's small parts: outcomes, the route book, the directory.
#include "relay/directory.h"
#include "relay/outcome.h"
#include "relay/routebook.h"

#include <criterion/criterion.h>

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
