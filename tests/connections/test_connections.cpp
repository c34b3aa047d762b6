// Tests of connection shares, the pool's accounting and the detection of silence.
#include "connections/pool.h"
#include "connections/quota.h"
#include "connections/silence.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

using namespace cardamomstep;

namespace {

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{Milliseconds{milliseconds}};
}

InstanceName proxy(std::size_t index)
{
    return InstanceName{"p" + std::to_string(index)};
}

template<typename Step>
bool is(const ConnectionStep &step)
{
    return std::holds_alternative<Step>(step);
}

ConnectionKey openedKey(const ConnectionStep &step)
{
    cr_assert(is<OpenConnection>(step));
    return std::get<OpenConnection>(step).key;
}

} // namespace

Test(connections, sharesAddUpToTheLimit)
{
    const bool holds = rc::check("shares add up", [](std::uint16_t limit) {
        const auto count = *rc::gen::inRange<std::size_t>(1, 8);
        std::vector<InstanceName> holders;
        for (std::size_t index = 0; index < count; ++index) {
            holders.push_back(proxy(index));
        }
        std::uint32_t sum = 0;
        for (const auto &holder : holders) {
            sum += shareOf(limit, holders, holder);
        }
        RC_ASSERT(sum == limit);
        RC_ASSERT(shareOf(limit, holders, InstanceName{"other"}) == 0U);
    });
    cr_assert(holds);
}

Test(connections, aShareGrowsOnlyAfterAReleaseOrExpiry)
{
    ConnectionShare share{proxy(0), 16, Milliseconds{1'000}};
    share.setHolders({proxy(0), proxy(1)}, at(0));
    cr_assert(share.allowed(at(0)) == 8);
    share.setHolders({proxy(0)}, at(10));
    cr_assert(share.allowed(at(10)) == 8);
    cr_assert(share.nextWake(at(10)) == at(1'010));
    share.heldBy(proxy(1), 3, at(20));
    cr_assert(share.allowed(at(20)) == 13);
    cr_assert(share.allowed(at(1'020)) == 16);
    share.heldBy(proxy(1), 0, at(30));
    cr_assert(share.allowed(at(30)) == 16);
    share.setHolders({proxy(0), proxy(1)}, at(40));
    cr_assert(share.allowed(at(40)) == 8, "it shrinks at once");
}

namespace {

// Proxies that hear of ownership changes late and close what is too much late, in virtual time.
struct Fleet {
    static constexpr std::uint32_t limit = 16;
    static constexpr std::size_t count = 5;
    static constexpr std::int64_t hearsWithin = 300;
    static constexpr std::int64_t closesWithin = 200;
    static constexpr std::int64_t expiry = 1'000;

    struct Proxy {
        ConnectionShare share;
        std::uint32_t open = 0;
        std::vector<std::pair<std::int64_t, std::vector<InstanceName>>> news;
        std::int64_t tooManySince = -1;
    };

    std::vector<Proxy> proxies;
    std::vector<InstanceName> everyone;

    Fleet()
    {
        for (std::size_t index = 0; index < count; ++index) {
            everyone.push_back(proxy(index));
            proxies.push_back(Proxy{ConnectionShare{proxy(index), limit, Milliseconds{expiry}}, 0, {}, -1});
        }
    }

    void change(const std::vector<InstanceName> &holders, std::int64_t now)
    {
        for (auto &one : proxies) {
            const auto heard = now + *rc::gen::inRange<std::int64_t>(0, hearsWithin);
            const auto earliest = one.news.empty() ? now : one.news.back().first;
            one.news.emplace_back(std::max(heard, earliest), holders);
        }
    }

    void step(std::size_t index, std::int64_t now)
    {
        auto &one = proxies[index];
        while (!one.news.empty() && one.news.front().first <= now) {
            one.share.setHolders(one.news.front().second, at(one.news.front().first));
            one.news.erase(one.news.begin());
        }
        const auto allowed = one.share.allowed(at(now));
        if (one.open <= allowed) {
            one.tooManySince = -1;
            one.open = std::min(allowed, one.open + *rc::gen::inRange(0U, 4U));
            return;
        }
        one.tooManySince = one.tooManySince < 0 ? now : one.tooManySince;
        const bool mustClose = now - one.tooManySince >= closesWithin;
        one.open = mustClose ? allowed : one.open - *rc::gen::inRange(0U, one.open - allowed + 1);
    }

    void announce(std::size_t from, std::size_t to, std::int64_t now)
    {
        proxies[to].share.heldBy(proxy(from), proxies[from].share.mayHold(proxies[from].open), at(now));
    }

    [[nodiscard]] std::uint32_t open() const
    {
        std::uint32_t sum = 0;
        for (const auto &one : proxies) {
            sum += one.open;
        }
        return sum;
    }
};

} // namespace

Test(connections, theLimitHoldsThroughChangesOfOwnership)
{
    const bool holds = rc::check("the limit holds", []() {
        Fleet fleet;
        std::vector<InstanceName> holders{proxy(0), proxy(1)};
        for (std::size_t index = 0; index < Fleet::count; ++index) {
            fleet.proxies[index].share.setHolders(holders, at(0));
        }
        std::int64_t now = 0;
        for (int round = 0; round < 300; ++round) {
            now += *rc::gen::inRange(1, 40);
            if (*rc::gen::inRange(0, 40) == 0) {
                const auto size = *rc::gen::inRange<std::size_t>(1, 4);
                const auto first = *rc::gen::inRange<std::size_t>(0, Fleet::count);
                holders.clear();
                for (std::size_t index = 0; index < size; ++index) {
                    holders.push_back(proxy((first + index) % Fleet::count));
                }
                fleet.change(holders, now);
            }
            for (std::size_t index = 0; index < Fleet::count; ++index) {
                fleet.step(index, now);
            }
            RC_ASSERT(fleet.open() <= Fleet::limit);
            const auto from = *rc::gen::inRange<std::size_t>(0, Fleet::count);
            fleet.announce(from, (from + *rc::gen::inRange<std::size_t>(1, Fleet::count)) % Fleet::count, now);
        }
    });
    cr_assert(holds);
}

Test(connections, idleConnectionsAreUsedFirst)
{
    ConnectionPool pool;
    (void)pool.setAllowed(4, at(0));
    const auto key = openedKey(pool.take(at(500), at(0)));
    cr_assert(!pool.giveBack(key, at(1)) && !pool.giveBack(key + 1, at(1)), "only a connection in use can be given back");
    pool.opened(key, at(12));
    cr_assert(pool.giveBack(key, at(20)));
    cr_assert(pool.take(at(500), at(30)) == (ConnectionStep{ReuseConnection{key}}));
}

Test(connections, opensArePacedAndNeverTooMany)
{
    ConnectionPool pool;
    (void)pool.setAllowed(3, at(0));
    const auto first = openedKey(pool.take(at(500), at(0)));
    const auto second = openedKey(pool.take(at(500), at(0)));
    cr_assert(is<AwaitConnection>(pool.take(at(500), at(0))), "two opens at once");
    pool.opened(first, at(12));
    pool.opened(second, at(12));
    const auto third = openedKey(pool.take(at(500), at(12)));
    pool.opened(third, at(24));
    cr_assert(is<AwaitConnection>(pool.take(at(500), at(24))), "three in all");
    cr_assert(is<NoConnection>(pool.take(at(24), at(24))));
}

Test(connections, theMembersOwnLimitPausesOpens)
{
    ConnectionPool pool;
    (void)pool.setAllowed(8, at(0));
    const auto key = openedKey(pool.take(at(500), at(0)));
    pool.openFailed(key, LinkFault::NoConnection, at(5));
    cr_assert(pool.open() == 0);
    cr_assert(pool.take(at(500), at(6)) == (ConnectionStep{AwaitConnection{at(105)}}));
    const auto tooLate = pool.take(at(100), at(6));
    cr_assert(is<NoConnection>(tooLate));
    cr_assert(std::get<NoConnection>(tooLate).error.ran == Ran::No && std::get<NoConnection>(tooLate).error.retryAfter);
    cr_assert(is<OpenConnection>(pool.take(at(500), at(105))));
}

Test(connections, aLoweredAllowanceClosesIdleOnesAtOnceAndBusyOnesAsTheyComeBack)
{
    ConnectionPool pool;
    (void)pool.setAllowed(3, at(0));
    const auto first = openedKey(pool.take(at(500), at(0)));
    const auto second = openedKey(pool.take(at(500), at(0)));
    pool.opened(first, at(12));
    pool.opened(second, at(12));
    cr_assert(pool.giveBack(first, at(20)));
    cr_assert(pool.setAllowed(0, at(21)) == std::vector<ConnectionKey>{first});
    cr_assert(!pool.giveBack(second, at(30)));
    cr_assert(pool.open() == 0);
}

Test(connections, longIdleConnectionsAreClosedDownToAFew)
{
    ConnectionPool pool;
    (void)pool.setAllowed(4, at(0));
    std::vector<ConnectionKey> keys;
    for (int round = 0; round < 3; ++round) {
        keys.push_back(openedKey(pool.take(at(500), at(0))));
        pool.opened(keys.back(), at(1));
    }
    for (std::size_t index = 0; index < keys.size(); ++index) {
        cr_assert(pool.giveBack(keys[index], at(10 + static_cast<std::int64_t>(index))));
    }
    cr_assert(pool.nextWake() == at(10'010));
    cr_assert(pool.wake(at(20'000)) == (std::vector<ConnectionKey>{keys[0], keys[1]}));
    cr_assert(pool.idle() == 1 && !pool.nextWake());
}

Test(connections, poolsStayWithinTheirAllowanceUnderRandomUse)
{
    const bool holds = rc::check("pool accounting", []() {
        ConnectionPool pool;
        std::uint32_t allowed = 0;
        std::uint32_t mostOpen = 0;
        std::vector<ConnectionKey> opening;
        std::vector<ConnectionKey> busy;
        std::int64_t now = 0;
        const auto takeOne = [](std::vector<ConnectionKey> &keys) {
            const auto key = keys.back();
            keys.pop_back();
            return key;
        };
        for (int step = 0; step < 150; ++step) {
            now += *rc::gen::inRange(0, 50);
            const auto event = *rc::gen::inRange(0, 7);
            if (event == 0) {
                allowed = *rc::gen::inRange(0U, 6U);
                (void)pool.setAllowed(allowed, at(now));
                mostOpen = std::max(allowed, pool.open());
            } else if (event == 1 && !opening.empty()) {
                pool.openFailed(takeOne(opening), *rc::gen::element(LinkFault::NoConnection, LinkFault::Refused), at(now));
            } else if (event == 2 && !opening.empty()) {
                busy.push_back(takeOne(opening));
                pool.opened(busy.back(), at(now));
            } else if (event == 3 && !busy.empty()) {
                (void)pool.giveBack(takeOne(busy), at(now));
            } else if (event == 4 && !busy.empty()) {
                pool.closed(takeOne(busy));
            } else if (event == 5) {
                (void)pool.wake(at(now));
            } else {
                const auto taken = pool.take(at(now + 200), at(now));
                if (const auto *open = std::get_if<OpenConnection>(&taken)) {
                    opening.push_back(open->key);
                } else if (const auto *reused = std::get_if<ReuseConnection>(&taken)) {
                    RC_ASSERT(std::find(busy.begin(), busy.end(), reused->key) == busy.end());
                    busy.push_back(reused->key);
                } else if (const auto *await = std::get_if<AwaitConnection>(&taken)) {
                    RC_ASSERT(await->until > at(now));
                }
            }
            RC_ASSERT(pool.open() == opening.size() + busy.size() + pool.idle());
            RC_ASSERT(pool.open() <= std::max(allowed, mostOpen));
            RC_ASSERT(pool.opening() <= 2U);
        }
    });
    cr_assert(holds);
}

namespace {

using Actions = std::vector<SilenceAction>;

SilenceDetector trainedDetector()
{
    SilenceDetector detector;
    for (int round = 0; round < 50; ++round) {
        detector.began(1, at(round * 100));
        cr_assert(detector.answered(1, at(round * 100 + 8)).empty());
    }
    return detector;
}

} // namespace

Test(connections, theExpectedTimeFollowsWhatWasMeasured)
{
    SilenceDetector fresh;
    cr_assert(fresh.overdueAfter() == Milliseconds{2'000});
    cr_assert(trainedDetector().overdueAfter() == Milliseconds{60});
}

Test(connections, aSilentConnectionIsClosedOnceTheMemberAnswersElsewhere)
{
    auto detector = trainedDetector();
    detector.began(7, at(10'000));
    detector.began(8, at(10'055));
    cr_assert(detector.nextWake() == at(10'060));
    cr_assert(detector.wake(at(10'060)) == (Actions{ProbeMember{7}}));
    cr_assert(!detector.nextWake());
    cr_assert(detector.probeAnswered(at(10'080)) == (Actions{CloseSilent{7}}));
    cr_assert(!detector.memberSuspect());
    cr_assert(detector.nextWake() == at(10'115), "the younger exchange goes on");
}

Test(connections, aSilentMemberIsSuspectUntilItAnswers)
{
    auto detector = trainedDetector();
    detector.began(7, at(10'000));
    (void)detector.wake(at(10'060));
    cr_assert(detector.probeFailed(at(10'120)) == (Actions{MemberSuspect{}}));
    detector.closed(7);
    const auto again = detector.nextWake();
    cr_assert(again == at(10'240));
    cr_assert(detector.wake(*again) == (Actions{ProbeMember{0}}));
    cr_assert(detector.probeFailed(at(10'300)).empty(), "it is said once");
    (void)detector.wake(*detector.nextWake());
    cr_assert(detector.probeAnswered(at(10'500)) == (Actions{MemberClear{}}));
    cr_assert(!detector.nextWake());
}

Test(connections, aLateAnswerClearsTheSuspicion)
{
    auto detector = trainedDetector();
    detector.began(7, at(10'000));
    (void)detector.wake(at(10'060));
    (void)detector.probeFailed(at(10'120));
    cr_assert(detector.answered(7, at(10'130)) == (Actions{MemberClear{}}));
}
