// Loads under which a member's connections are scarce, on the pools of many proxies and one shared limit.
#include "relay/memberpool.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace cardamomstep;
using namespace cardamomstep::relay;

namespace {

constexpr std::uint32_t memberLimit = 40;
constexpr std::uint32_t holders = 6;
constexpr std::uint32_t holderShare = 6;
constexpr std::uint32_t stranded = 20;
constexpr std::uint32_t leastBorrowed = 2;
constexpr Milliseconds step{10};
constexpr Milliseconds openTime{20};
constexpr Milliseconds patience{400};
constexpr Milliseconds statementTime{20};

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{Milliseconds{10'000 + milliseconds}};
}

/// One proxy's pool for the member, with at most one statement at a time.
struct Proxy {
    MemberPool pool{MemberEntry{}};
    MemberConnectionKey nextKey = 1;
    std::optional<TimePoint> waitingSince;
    unsigned served = 0;
    unsigned refused = 0;
};

/// Proxies that share the member's limit.
class Fleet
{
public:
    explicit Fleet(std::size_t proxies)
        : proxies_(proxies)
    {
    }

    Proxy &operator[](std::size_t index)
    {
        return proxies_[index];
    }

    [[nodiscard]] std::uint32_t open() const
    {
        std::uint32_t sum = 0;
        for (const auto &proxy : proxies_) {
            sum += proxy.pool.size();
        }
        return sum;
    }

    /// Lets time pass to \a now: opens end, statements end, those that wait are served or refused, idle connections are closed.
    void advance(TimePoint now)
    {
        for (auto &proxy : proxies_) {
            endExchanges(proxy, now);
            serve(proxy, now);
            while (const auto surplus = proxy.pool.surplusConnection(now)) {
                proxy.pool.remove(surplus);
            }
        }
    }

private:
    static void endExchanges(Proxy &proxy, TimePoint now)
    {
        for (auto &[key, link] : proxy.pool.connections()) {
            const bool opened = link.state == PooledConnectionState::Opening && now - link.since >= openTime;
            const bool answered = link.state == PooledConnectionState::InUse && now - link.since >= statementTime;
            if (opened || answered) {
                link.state = PooledConnectionState::Idle;
                link.since = now;
            }
        }
    }

    void serve(Proxy &proxy, TimePoint now)
    {
        if (!proxy.waitingSince) {
            return;
        }
        if (auto *idle = proxy.pool.bestIdle({})) {
            idle->state = PooledConnectionState::InUse;
            idle->since = now;
            proxy.waitingSince.reset();
            ++proxy.served;
        } else if (now - *proxy.waitingSince >= patience) {
            proxy.waitingSince.reset();
            ++proxy.refused;
        } else if (proxy.pool.count(PooledConnectionState::Opening) == 0 && proxy.pool.mayOpen(now)) {
            if (open() < memberLimit) {
                proxy.pool.add(proxy.nextKey++, now);
            } else {
                proxy.pool.limitReached(now);
            }
        }
    }

    std::vector<Proxy> proxies_;
};

} // namespace

Test(scarcity, sessionsStrandedWhereNoConnectionsArePlannedAreServedAgain)
{
    Fleet fleet(holders + stranded);
    for (std::uint32_t index = 0; index < holders + stranded; ++index) {
        const auto share = index < holders ? holderShare : 0;
        fleet[index].pool.setAllowed(share, std::max(share, leastBorrowed));
        for (std::uint32_t link = 0; link < share; ++link) {
            fleet[index].pool.add(fleet[index].nextKey++, at(0));
        }
    }
    // The holders' sessions went to the others, each of which now has a statement every 200 ms.
    constexpr std::int64_t lasts = 10'000;
    constexpr std::int64_t settled = 4'000;
    unsigned servedEarly = 0;
    unsigned refusedEarly = 0;
    for (std::int64_t time = 0; time < lasts; time += step.count()) {
        for (std::uint32_t index = holders; index < holders + stranded; ++index) {
            auto &proxy = fleet[index];
            if (!proxy.waitingSince && (time / step.count() + index) % 20 == 0) {
                proxy.waitingSince = at(time);
            }
            servedEarly += time == settled ? proxy.served : 0;
            refusedEarly += time == settled ? proxy.refused : 0;
        }
        fleet.advance(at(time));
    }
    unsigned served = 0;
    unsigned refused = 0;
    for (std::uint32_t index = holders; index < holders + stranded; ++index) {
        served += fleet[index].served;
        refused += fleet[index].refused;
    }
    cr_assert(refused == refusedEarly, "%u refused of %u once settled", refused - refusedEarly, served - servedEarly);
    cr_assert(served - servedEarly >= stranded * (lasts - settled) / 200 * 9 / 10, "%u served once settled", served - servedEarly);
}

Test(scarcity, aRefusalByTheLimitLeavesOpenConnectionsInUse)
{
    MemberPool pool{MemberEntry{}};
    pool.setAllowed(2, 2);
    pool.add(1, at(0)).state = PooledConnectionState::Idle;
    pool.limitReached(at(10));
    cr_assert(pool.usable(at(11)) && !pool.mayOpen(at(11)));
    cr_assert(pool.mayOpen(at(10 + 150)));
}

Test(scarcity, whatIsBorrowedGoesBackAtOnceWhileTheMemberRefusesOthers)
{
    MemberPool pool{MemberEntry{}};
    pool.setAllowed(0, 2);
    auto &link = pool.add(1, at(0));
    link.state = PooledConnectionState::Idle;
    cr_assert(pool.surplusConnection(at(10)) == 0, "kept for the next statement in calm times");
    pool.limitReached(at(20));
    cr_assert(pool.surplusConnection(at(20)) == 1);
}

Test(scarcity, aPowerLossLeavesRoomForTheConnectionsOfThoseThatReturn)
{
    constexpr std::uint32_t limit = 16;
    constexpr std::uint32_t proxies = 7;
    constexpr std::uint32_t share = 2;
    Fleet fleet(proxies);
    for (std::uint32_t index = 0; index < proxies; ++index) {
        fleet[index].pool.setAllowed(share, share * 2);
        for (std::uint32_t link = 0; link < share; ++link) {
            fleet[index].pool.add(fleet[index].nextKey++, at(0));
        }
    }
    // A busy moment is over; each proxy now has a statement every 150 ms.
    constexpr std::int64_t power = 1'500;
    for (std::int64_t time = 0; time <= power; time += step.count()) {
        for (std::uint32_t index = 0; index < proxies; ++index) {
            if (!fleet[index].waitingSince && (time / step.count() + index) % 15 == 0) {
                fleet[index].waitingSince = at(time);
            }
        }
        fleet.advance(at(time));
    }
    // All lose power now: the member counts what they held for seconds, and each needs a connection when it is back.
    cr_assert(fleet.open() + proxies <= limit, "%u of %u connections are left behind", fleet.open(), limit);
}
