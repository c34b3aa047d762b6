// Tests of connection quotas, the pool's accounting and the detection of silent connections.
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

Test(connections, quotasAddUpToTheLimit)
{
    const bool holds = rc::check("quotas add up", [](std::uint16_t limit) {
        const auto count = *rc::gen::inRange<std::size_t>(1, 8);
        std::vector<InstanceName> owners;
        for (std::size_t index = 0; index < count; ++index) {
            owners.push_back(proxy(index));
        }
        std::uint32_t sum = 0;
        for (const auto &owner : owners) {
            sum += quotaOf(limit, owners, owner);
        }
        RC_ASSERT(sum == limit);
        RC_ASSERT(quotaOf(limit, owners, InstanceName{"other"}) == 0U);
    });
    cr_assert(holds);
}

Test(connections, aQuotaGrowsOnlyAfterAReleaseOrExpiry)
{
    ConnectionQuota quota{proxy(0), 16, Milliseconds{1'000}};
    quota.setOwners({proxy(0), proxy(1)}, at(0));
    cr_assert(quota.allowed(at(0)) == 8);
    quota.setOwners({proxy(0)}, at(10));
    cr_assert(quota.allowed(at(10)) == 8);
    cr_assert(quota.nextWake(at(10)) == at(1'010));
    quota.onPeerAllocation(proxy(1), 3, at(20));
    cr_assert(quota.allowed(at(20)) == 13);
    cr_assert(quota.allowed(at(1'020)) == 16);
    quota.onPeerAllocation(proxy(1), 0, at(30));
    cr_assert(quota.allowed(at(30)) == 16);
    quota.setOwners({proxy(0), proxy(1)}, at(40));
    cr_assert(quota.allowed(at(40)) == 8, "it shrinks at once");
}

namespace {

// Proxies that learn of ownership changes, and close their excess connections, with delays; in virtual time, in milliseconds.
struct Fleet {
    static constexpr std::uint32_t limit = 16;
    static constexpr std::size_t count = 5;
    static constexpr std::int64_t maxReceiveDelay = 300;
    static constexpr std::int64_t maxCloseDelay = 200;
    static constexpr std::int64_t expiry = 1'000;

    struct Proxy {
        ConnectionQuota quota;
        std::uint32_t open = 0;
        /// Lists of owners with the times at which they arrive.
        std::vector<std::pair<std::int64_t, std::vector<InstanceName>>> pendingLists;
        /// When the open connections began to exceed the allowance; -1 while they do not.
        std::int64_t excessSince = -1;
    };

    std::vector<Proxy> proxies;
    std::vector<InstanceName> everyone;

    Fleet()
    {
        for (std::size_t index = 0; index < count; ++index) {
            everyone.push_back(proxy(index));
            proxies.push_back(Proxy{ConnectionQuota{proxy(index), limit, Milliseconds{expiry}}, 0, {}, -1});
        }
    }

    void change(const std::vector<InstanceName> &owners, std::int64_t now)
    {
        for (auto &instance : proxies) {
            const auto receivedAt = now + *rc::gen::inRange<std::int64_t>(0, maxReceiveDelay);
            const auto earliest = instance.pendingLists.empty() ? now : instance.pendingLists.back().first;
            instance.pendingLists.emplace_back(std::max(receivedAt, earliest), owners);
        }
    }

    void step(std::size_t index, std::int64_t now)
    {
        auto &instance = proxies[index];
        while (!instance.pendingLists.empty() && instance.pendingLists.front().first <= now) {
            instance.quota.setOwners(instance.pendingLists.front().second, at(instance.pendingLists.front().first));
            instance.pendingLists.erase(instance.pendingLists.begin());
        }
        const auto allowed = instance.quota.allowed(at(now));
        if (instance.open <= allowed) {
            instance.excessSince = -1;
            instance.open = std::min(allowed, instance.open + *rc::gen::inRange(0U, 4U));
            return;
        }
        instance.excessSince = instance.excessSince < 0 ? now : instance.excessSince;
        const bool mustClose = now - instance.excessSince >= maxCloseDelay;
        instance.open = mustClose ? allowed : instance.open - *rc::gen::inRange(0U, instance.open - allowed + 1);
    }

    void announce(std::size_t from, std::size_t to, std::int64_t now)
    {
        proxies[to].quota.onPeerAllocation(proxy(from), proxies[from].quota.allocation(proxies[from].open), at(now));
    }

    [[nodiscard]] std::uint32_t open() const
    {
        std::uint32_t sum = 0;
        for (const auto &instance : proxies) {
            sum += instance.open;
        }
        return sum;
    }
};

} // namespace

Test(connections, theLimitHoldsDuringOwnershipChanges)
{
    const bool holds = rc::check("the limit holds", []() {
        Fleet fleet;
        std::vector<InstanceName> owners{proxy(0), proxy(1)};
        for (std::size_t index = 0; index < Fleet::count; ++index) {
            fleet.proxies[index].quota.setOwners(owners, at(0));
        }
        std::int64_t now = 0;
        for (int round = 0; round < 300; ++round) {
            now += *rc::gen::inRange(1, 40);
            if (*rc::gen::inRange(0, 40) == 0) {
                const auto size = *rc::gen::inRange<std::size_t>(1, 4);
                const auto first = *rc::gen::inRange<std::size_t>(0, Fleet::count);
                owners.clear();
                for (std::size_t index = 0; index < size; ++index) {
                    owners.push_back(proxy((first + index) % Fleet::count));
                }
                fleet.change(owners, now);
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
    const auto key = openedKey(pool.acquire(at(500), at(0)));
    cr_assert(!pool.release(key, at(1)) && !pool.release(key + 1, at(1)), "only a connection in use can be released");
    pool.opened(key, at(12));
    cr_assert(pool.release(key, at(20)));
    cr_assert(pool.acquire(at(500), at(30)) == (ConnectionStep{ReuseConnection{key}}));
}

Test(connections, concurrentOpensAndOpenConnectionsAreLimited)
{
    ConnectionPool pool;
    (void)pool.setAllowed(3, at(0));
    const auto first = openedKey(pool.acquire(at(500), at(0)));
    const auto second = openedKey(pool.acquire(at(500), at(0)));
    cr_assert(is<AwaitConnection>(pool.acquire(at(500), at(0))), "two opens at once");
    pool.opened(first, at(12));
    pool.opened(second, at(12));
    const auto third = openedKey(pool.acquire(at(500), at(12)));
    pool.opened(third, at(24));
    cr_assert(is<AwaitConnection>(pool.acquire(at(500), at(24))), "three in all");
    cr_assert(is<NoConnection>(pool.acquire(at(24), at(24))));
}

Test(connections, aRefusalAtTheMembersLimitDelaysOpens)
{
    ConnectionPool pool;
    (void)pool.setAllowed(8, at(0));
    const auto key = openedKey(pool.acquire(at(500), at(0)));
    pool.openFailed(key, ConnectionFault::NoConnection, at(5));
    cr_assert(pool.open() == 0);
    cr_assert(pool.acquire(at(500), at(6)) == (ConnectionStep{AwaitConnection{at(105)}}));
    const auto unavailable = pool.acquire(at(100), at(6));
    cr_assert(is<NoConnection>(unavailable));
    cr_assert(std::get<NoConnection>(unavailable).error.ran == Ran::No && std::get<NoConnection>(unavailable).error.retryAfter);
    cr_assert(is<OpenConnection>(pool.acquire(at(500), at(105))));
}

Test(connections, aLoweredAllowanceClosesIdleConnectionsAtOnceAndBusyOnesOnRelease)
{
    ConnectionPool pool;
    (void)pool.setAllowed(3, at(0));
    const auto first = openedKey(pool.acquire(at(500), at(0)));
    const auto second = openedKey(pool.acquire(at(500), at(0)));
    pool.opened(first, at(12));
    pool.opened(second, at(12));
    cr_assert(pool.release(first, at(20)));
    cr_assert(pool.setAllowed(0, at(21)) == std::vector<ConnectionKey>{first});
    cr_assert(!pool.release(second, at(30)));
    cr_assert(pool.open() == 0);
}

Test(connections, idleConnectionsBeyondTheMinimumAreClosedAfterTheTimeout)
{
    ConnectionPool pool;
    (void)pool.setAllowed(4, at(0));
    std::vector<ConnectionKey> keys;
    for (int round = 0; round < 3; ++round) {
        keys.push_back(openedKey(pool.acquire(at(500), at(0))));
        pool.opened(keys.back(), at(1));
    }
    for (std::size_t index = 0; index < keys.size(); ++index) {
        cr_assert(pool.release(keys[index], at(10 + static_cast<std::int64_t>(index))));
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
        std::uint32_t maxOpen = 0;
        std::vector<ConnectionKey> opening;
        std::vector<ConnectionKey> busy;
        std::int64_t now = 0;
        const auto popKey = [](std::vector<ConnectionKey> &keys) {
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
                maxOpen = std::max(allowed, pool.open());
            } else if (event == 1 && !opening.empty()) {
                pool.openFailed(popKey(opening), *rc::gen::element(ConnectionFault::NoConnection, ConnectionFault::Refused), at(now));
            } else if (event == 2 && !opening.empty()) {
                busy.push_back(popKey(opening));
                pool.opened(busy.back(), at(now));
            } else if (event == 3 && !busy.empty()) {
                (void)pool.release(popKey(busy), at(now));
            } else if (event == 4 && !busy.empty()) {
                pool.closed(popKey(busy));
            } else if (event == 5) {
                (void)pool.wake(at(now));
            } else {
                const auto acquired = pool.acquire(at(now + 200), at(now));
                if (const auto *open = std::get_if<OpenConnection>(&acquired)) {
                    opening.push_back(open->key);
                } else if (const auto *reused = std::get_if<ReuseConnection>(&acquired)) {
                    RC_ASSERT(std::find(busy.begin(), busy.end(), reused->key) == busy.end());
                    busy.push_back(reused->key);
                } else if (const auto *await = std::get_if<AwaitConnection>(&acquired)) {
                    RC_ASSERT(await->until > at(now));
                }
            }
            RC_ASSERT(pool.open() == opening.size() + busy.size() + pool.idle());
            RC_ASSERT(pool.open() <= std::max(allowed, maxOpen));
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
        detector.exchangeStarted(1, at(round * 100));
        cr_assert(detector.replied(1, at(round * 100 + 8)).empty());
    }
    return detector;
}

} // namespace

Test(connections, theOverdueTimeFollowsMeasuredReplyTimes)
{
    SilenceDetector fresh;
    cr_assert(fresh.overdueAfter() == Milliseconds{2'000});
    cr_assert(trainedDetector().overdueAfter() == Milliseconds{60});
}

Test(connections, aSilentConnectionIsClosedOnceTheMemberRepliesToAProbe)
{
    auto detector = trainedDetector();
    detector.exchangeStarted(7, at(10'000));
    detector.exchangeStarted(8, at(10'055));
    cr_assert(detector.nextWake() == at(10'060));
    cr_assert(detector.wake(at(10'060)) == (Actions{ProbeMember{7}}));
    cr_assert(!detector.nextWake());
    cr_assert(detector.probeReplied(at(10'080)) == (Actions{CloseSilentConnection{7}}));
    cr_assert(!detector.memberSuspect());
    cr_assert(detector.nextWake() == at(10'115), "the younger exchange is still monitored");
}

Test(connections, aSilentMemberIsSuspectedUntilItReplies)
{
    auto detector = trainedDetector();
    detector.exchangeStarted(7, at(10'000));
    (void)detector.wake(at(10'060));
    cr_assert(detector.probeFailed(at(10'120)) == (Actions{MemberSuspected{}}));
    detector.closed(7);
    const auto again = detector.nextWake();
    cr_assert(again == at(10'240));
    cr_assert(detector.wake(*again) == (Actions{ProbeMember{0}}));
    cr_assert(detector.probeFailed(at(10'300)).empty(), "the suspicion is reported once");
    (void)detector.wake(*detector.nextWake());
    cr_assert(detector.probeReplied(at(10'500)) == (Actions{MemberRecovered{}}));
    cr_assert(!detector.nextWake());
}

Test(connections, anOverdueReplyClearsTheSuspicion)
{
    auto detector = trainedDetector();
    detector.exchangeStarted(7, at(10'000));
    (void)detector.wake(at(10'060));
    (void)detector.probeFailed(at(10'120));
    cr_assert(detector.replied(7, at(10'130)) == (Actions{MemberRecovered{}}));
}
