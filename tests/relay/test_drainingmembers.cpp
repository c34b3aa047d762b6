// Tests of the use of members that announced their departure.
#include "relaydriver.h"

#include <criterion/criterion.h>

using namespace cardamomstep;
using namespace cardamomstep::relay;

// A process that starts while a member drains cannot see since when; counted from its start, it would use the member after it has left.
Test(relay, aMemberFoundDrainingCountsAsDrainingForHalfItsTime)
{
    DirectoryLimits limits;
    limits.memberDrain = Milliseconds{7000};
    MemberDirectory directory(limits);
    MemberEntry member;
    member.name = MemberName{"m"};
    member.startedAt = 1;
    const TimePoint start{Seconds{100}};
    directory.put(member, TimePoint{}, start);
    cr_assert(!directory.drainingSince(member.name));
    member.draining = true;
    directory.put(member, TimePoint{}, start);
    cr_assert(directory.drainingSince(member.name) == start - Milliseconds{3500});
    directory.put(member, start + Seconds{1}, start + Seconds{1});
    cr_assert(directory.drainingSince(member.name) == start - Milliseconds{3500}, "the first time is kept");
    member.startedAt = 2;
    directory.put(member, start + Seconds{1}, start + Seconds{2});
    cr_assert(directory.drainingSince(member.name) == start + Seconds{1}, "a restarted member drains anew");
    member.draining = false;
    directory.put(member, start + Seconds{3}, start + Seconds{3});
    cr_assert(!directory.drainingSince(member.name));
}

// The lease holder was lost just before a primary began to drain: no primary change started for seven seconds, and statements still
// reached the primary after the time in which it may be used (incident inc1, kpv-swapdesk).
Test(relay, noStatementReachesAPrimaryWhoseDrainTimeIsOver)
{
    constexpr std::int64_t drainMs = 7'000;
    RelayDriver driver;
    driver.open(1);
    auto draining = RelayDriver::member("p", "a", true);
    draining.draining = true;
    driver.directory.put(draining, driver.now, driver.now);
    driver.engine.setMembers(driver.directory, driver.now);
    driver.advance(drainMs / 2);
    driver.submit(1, StatementKind::Write);
    cr_assert(driver.lastMember() == "p", "a draining primary serves until its successor leads");
    driver.replyNext();
    driver.advance(drainMs / 2);
    const auto sent = driver.statementTargets.size();
    driver.submit(1, StatementKind::Write);
    driver.advance(1'000);
    cr_assert(driver.statementTargets.size() == sent);
    cr_assert(driver.lastReply(1)->error->kind == ErrorKind::NoPrimary);
    driver.setGroupPrimary("r1", 2);
    driver.submit(1, StatementKind::Write);
    cr_assert(driver.lastMember() == "r1");
}

// Members that were cut off from the store alone served on, but the bound on draining primaries counted their expired entries as
// announcements: callers were refused for as long as the cut lasted (own day members-cut-off-from-the-store).
Test(relay, aPrimaryWhoseEntryExpiredIsUsedWhileItReplies)
{
    RelayDriver driver;
    driver.open(1);
    driver.submit(1, StatementKind::Write);
    driver.replyNext();
    driver.directory.remove(MemberName{"p"}, driver.now);
    driver.engine.setMembers(driver.directory, driver.now);
    driver.advance(20'000);
    driver.submit(1, StatementKind::Write);
    cr_assert(driver.lastMember() == "p" && !driver.requests.empty());
}
