// Tests of the membership view in virtual time: small fleets, 3,500 proxies, deaths, refutations and healed partitions.
#include "membership/view.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <queue>
#include <set>

using namespace cardamomstep;

namespace {

constexpr Milliseconds tickInterval{100};

class SimulatedFleet
{
public:
    SimulatedFleet(std::size_t size, std::size_t domains)
        : up(size, true)
        , side(size, 0)
        , bytes(size, 0)
        , domains_(domains)
    {
        for (std::size_t node = 0; node < size; ++node) {
            listed.push_back({nameOf(node).text(), domainOf(node), Address{"10.0.0.1:1"}});
            views.push_back(makeView(node, 1));
        }
        std::vector<SharedUpdate> all;
        for (auto &view : views) {
            all.push_back(view->snapshot().front());
        }
        std::sort(all.begin(), all.end(), [](const auto &left, const auto &right) { return left->instance < right->instance; });
        for (std::size_t node = 0; node < size; ++node) {
            views[node]->onSnapshot(all, now);
            views[node]->onListed(listed, now);
            at(now + Milliseconds{random_.below(100)}, [this, node] { tickLoop(node); });
        }
    }

    static InstanceName nameOf(std::size_t node)
    {
        return InstanceName{"proxy-" + std::to_string(node)};
    }
    FailureDomain domainOf(std::size_t node) const
    {
        return FailureDomain{"d" + std::to_string(node % domains_)};
    }

    std::unique_ptr<MembershipView> makeView(std::size_t node, std::uint64_t incarnation)
    {
        MembershipOptions options;
        options.self = {nameOf(node), domainOf(node), Address{"10.0.0.1:1"}};
        options.incarnation = incarnation;
        options.forms = {{ObjectKind{"group"}, 1}};
        options.seed = random_();
        return std::make_unique<MembershipView>(options);
    }

    void run(Microseconds span)
    {
        const auto end = now + span;
        while (!events_.empty() && events_.top().time <= end) {
            auto event = std::move(const_cast<Event &>(events_.top()));
            events_.pop();
            now = event.time;
            event.action();
        }
        now = end;
    }

    /// Number of live proxies in whose view \a about has the state \a state.
    std::size_t countObserving(std::size_t about, ProxyState state) const
    {
        std::size_t count = 0;
        for (std::size_t node = 0; node < views.size(); ++node) {
            const auto *known = views[node]->find(nameOf(about));
            count += up[node] && node != about && known != nullptr && known->update->state == state ? 1 : 0;
        }
        return count;
    }

    std::size_t liveCount() const
    {
        return static_cast<std::size_t>(std::count(up.begin(), up.end(), true));
    }

    void applyList()
    {
        for (auto &view : views) {
            view->onListed(listed, now);
        }
    }

    std::vector<std::unique_ptr<MembershipView>> views;
    std::vector<ListedInstance> listed;
    std::vector<bool> up;
    /// The side of a partition that each proxy is on; messages between different sides are lost.
    std::vector<int> side;
    /// Bytes sent and received by each proxy.
    std::vector<std::uint64_t> bytes;
    std::uint64_t messages = 0;
    TimePoint now{};
    /// Pairs of sender and receiver whose messages are lost, in addition to those between sides.
    std::set<std::pair<std::size_t, std::size_t>> lost;

private:
    struct Event {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };

    void at(TimePoint time, std::function<void()> action)
    {
        events_.push({time, ++order_, std::move(action)});
    }

    void tickLoop(std::size_t node)
    {
        if (up[node]) {
            for (const auto &action : views[node]->tick(now)) {
                perform(node, action);
            }
        }
        at(now + tickInterval, [this, node] { tickLoop(node); });
    }

    static std::size_t indexOf(const LiveInstance &instance)
    {
        return std::stoul(instance.name.text().substr(6));
    }

    void addTraffic(std::size_t from, std::size_t to, std::size_t updates)
    {
        constexpr std::size_t framingBytes = 150;
        constexpr std::size_t updateBytes = 60;
        bytes[from] += framingBytes + updates * updateBytes;
        bytes[to] += framingBytes + updates * updateBytes;
        ++messages;
    }

    /// Sends a message from one proxy to another and calls \a onArrival when it arrives.
    void transmit(std::size_t from, std::size_t to, std::size_t updates, std::function<void()> onArrival)
    {
        addTraffic(from, to, updates);
        const auto delay = Microseconds{3500 + random_.below(1000)};
        if (side[from] == side[to] && lost.count({from, to}) == 0) {
            at(now + delay, [this, to, onArrival = std::move(onArrival)] {
                if (up[to]) {
                    onArrival();
                }
            });
        }
    }

    void perform(std::size_t node, const MembershipAction &action)
    {
        if (const auto *ping = std::get_if<SendPing>(&action)) {
            const auto to = indexOf(ping->to);
            transmit(node, to, ping->message.updates.size(), [this, node, to, id = ping->id, message = ping->message] {
                auto ack = views[to]->onPing(message, now);
                const auto updates = ack.updates.size();
                transmit(to, node, updates, [this, node, id, ack = std::move(ack)] { views[node]->onAck(id, ack, now); });
            });
        } else if (const auto *indirect = std::get_if<SendIndirectPing>(&action)) {
            const auto via = indexOf(indirect->via);
            const auto target = indexOf(indirect->target);
            const auto updates = indirect->message.updates.size();
            transmit(node, via, updates, [this, node, via, target, updates, id = indirect->id, message = indirect->message] {
                transmit(via, target, updates, [this, node, via, target, id, message] {
                    auto ack = views[target]->onPing(message, now);
                    const auto count = ack.updates.size();
                    transmit(target, via, count, [this, node, via, count, id, ack] {
                        transmit(via, node, count, [this, node, id, ack] { views[node]->onAck(id, ack, now); });
                    });
                });
            });
        } else {
            const auto from = indexOf(std::get<FetchSnapshot>(action).from);
            transmit(node, from, 0, [this, node, from] {
                const auto all = views[from]->snapshot();
                transmit(from, node, all.size(), [this, node, all] { views[node]->onSnapshot(all, now); });
            });
        }
    }

    std::size_t domains_;
    Random random_{11};
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
};

double secondsOf(Microseconds span)
{
    return std::chrono::duration<double>(span).count();
}

const std::vector<FailureDomain> groupDomains{FailureDomain{"d0"}, FailureDomain{"d1"}, FailureDomain{"d2"}};

/// Returns the first \a count groups of which \a victim is an owner in \a set.
std::vector<GroupName> groupsOf(const InstanceSet &set, const InstanceName &victim, std::size_t count)
{
    std::vector<GroupName> groups;
    for (int index = 0; groups.size() < count; ++index) {
        const GroupName group{"g" + std::to_string(index)};
        if (set.rank(group, groupDomains, victim)) {
            groups.push_back(group);
        }
    }
    return groups;
}

/// Returns the fraction of the sampled live proxies that name \a victim as an owner of any of \a groups.
double fractionNaming(SimulatedFleet &fleet, const InstanceName &victim, const std::vector<GroupName> &groups)
{
    const auto step = std::max<std::size_t>(1, fleet.views.size() / 100);
    std::size_t naming = 0;
    std::size_t sampled = 0;
    for (std::size_t node = 0; node < fleet.views.size(); node += step) {
        if (!fleet.up[node]) {
            continue;
        }
        const auto owners = fleet.views[node]->owners();
        naming +=
            std::any_of(groups.begin(), groups.end(), [&](const auto &group) { return owners->rank(group, groupDomains, victim); }) ? 1 : 0;
        ++sampled;
    }
    return static_cast<double>(naming) / static_cast<double>(sampled);
}

struct DeathTimes {
    double untilFirst = 0;
    double untilAll = 0;
};

DeathTimes killAndMeasure(SimulatedFleet &fleet, std::size_t victim)
{
    fleet.up[victim] = false;
    const auto killedAt = fleet.now;
    DeathTimes times;
    while (fleet.countObserving(victim, ProxyState::Dead) < fleet.liveCount() && fleet.now - killedAt < Seconds{60}) {
        fleet.run(Milliseconds{100});
        if (times.untilFirst == 0 && fleet.countObserving(victim, ProxyState::Dead) > 0) {
            times.untilFirst = secondsOf(fleet.now - killedAt);
        }
    }
    times.untilAll = secondsOf(fleet.now - killedAt);
    return times;
}

} // namespace

Test(view, deadProxyIsDetectedByAllOfASmallFleet)
{
    SimulatedFleet fleet{7, 3};
    fleet.run(Seconds{20});
    std::fill(fleet.bytes.begin(), fleet.bytes.end(), 0);
    fleet.messages = 0;
    fleet.run(Seconds{60});
    const auto perNode = static_cast<double>(fleet.messages) / 60 / 7;
    const auto busiest = static_cast<double>(*std::max_element(fleet.bytes.begin(), fleet.bytes.end())) / 60;
    const auto times = killAndMeasure(fleet, 2);
    std::printf(
        "7 proxies: %.2f messages sent per second, %.0f bytes per second in and out at the busiest; death detected by the first after "
        "%.1f s, by all after %.1f s\n",
        perNode,
        busiest,
        times.untilFirst,
        times.untilAll);
    cr_assert(times.untilAll < 12);
    cr_assert(fleet.views[0]->owners()->instances().size() == 6);
    cr_assert(busiest < 11'000);
}

Test(view, messageLossBetweenTwoProxiesCausesNoDeath)
{
    SimulatedFleet fleet{7, 3};
    fleet.lost = {{0, 1}, {1, 0}};
    const auto generation = fleet.views[3]->generation();
    fleet.run(Seconds{120});
    cr_assert(fleet.countObserving(1, ProxyState::Dead) == 0);
    cr_assert(fleet.countObserving(0, ProxyState::Dead) == 0);
    cr_assert(fleet.views[3]->generation() == generation);
}

Test(view, indirectPingsOfOneProbeGoThroughDifferentProxies)
{
    SimulatedFleet fleet{7, 3};
    fleet.run(Seconds{5});
    fleet.up[4] = false;
    auto &view = *fleet.views[0];
    std::size_t probes = 0;
    for (int step = 0; step < 400; ++step) {
        fleet.now += Milliseconds{50};
        std::vector<InstanceName> via;
        for (const auto &action : view.tick(fleet.now)) {
            if (const auto *indirect = std::get_if<SendIndirectPing>(&action)) {
                via.push_back(indirect->via.name);
            }
        }
        const std::set<InstanceName> distinct(via.begin(), via.end());
        probes += via.empty() ? 0 : 1;
        // Two probes may be due in one step, three proxies for each.
        cr_assert(distinct.size() >= std::min<std::size_t>(via.size(), 3), "%zu of %zu", distinct.size(), via.size());
    }
    cr_assert(probes > 0);
}

Test(view, suspicionAfterABriefPauseIsRefuted)
{
    SimulatedFleet fleet{7, 3};
    fleet.run(Seconds{5});
    fleet.up[4] = false;
    fleet.run(Milliseconds{2500});
    fleet.up[4] = true;
    fleet.run(Seconds{15});
    cr_assert(fleet.countObserving(4, ProxyState::Alive) == 6);
}

Test(view, restartedProxyIsAliveAgainByItsNewIncarnation)
{
    SimulatedFleet fleet{7, 3};
    fleet.run(Seconds{5});
    killAndMeasure(fleet, 4);
    fleet.views[4] = fleet.makeView(4, 1000);
    fleet.views[4]->onListed(fleet.listed, fleet.now);
    fleet.up[4] = true;
    fleet.run(Seconds{12});
    cr_assert(fleet.countObserving(4, ProxyState::Alive) == 6);
    cr_assert(fleet.views[4]->owners()->instances().size() == 7);
    cr_assert(fleet.views[4]->cannotRead({ObjectKind{"group"}, 1}).empty());
}

Test(view, leavingProxyOwnsNothingAfterFourSeconds)
{
    SimulatedFleet fleet{7, 3};
    fleet.run(Seconds{5});
    fleet.views[6]->leave(fleet.now);
    fleet.run(Seconds{4});
    cr_assert(fleet.countObserving(6, ProxyState::Leaving) == 6);
    cr_assert(fleet.views[1]->owners()->instances().size() == 6);
}

Test(view, leavingInTheListOverridesTheProxysOwnUpdates)
{
    SimulatedFleet fleet{7, 3};
    fleet.run(Seconds{5});
    fleet.listed[6].state = ListedState::Leaving;
    fleet.views[0]->onListed(fleet.listed, fleet.now);
    fleet.run(Seconds{6});
    cr_assert(fleet.countObserving(6, ProxyState::Leaving) == 6);
    cr_assert(fleet.views[6]->isLeaving());
}

Test(view, outdatedListDoesNotReviveADeadProxy)
{
    SimulatedFleet fleet{7, 3};
    fleet.run(Seconds{5});
    killAndMeasure(fleet, 2);
    fleet.applyList();
    fleet.run(Seconds{90});
    cr_assert(fleet.countObserving(2, ProxyState::Dead) == 6);
    fleet.listed.erase(fleet.listed.begin() + 2);
    fleet.applyList();
    fleet.run(Seconds{2});
    cr_assert(fleet.views[0]->find(SimulatedFleet::nameOf(2)) == nullptr);
}

Test(view, sidesOfAHealedPartitionFindEachOther)
{
    SimulatedFleet fleet{7, 3};
    fleet.run(Seconds{5});
    fleet.side = {0, 0, 0, 0, 1, 1, 1};
    fleet.run(Seconds{60});
    cr_assert(fleet.views[0]->owners()->instances().size() == 4);
    cr_assert(fleet.views[5]->owners()->instances().size() == 3);
    fleet.side.assign(7, 0);
    fleet.run(Seconds{40});
    for (auto &view : fleet.views) {
        cr_assert(view->owners()->instances().size() == 7);
    }
}

Test(view, formsAndConfigurationRevisionsAreDisseminated)
{
    SimulatedFleet fleet{7, 3};
    for (std::size_t node = 0; node < 7; ++node) {
        fleet.views[node]->setConfiguration(Revision{node == 3 ? 4U : 9U});
    }
    fleet.run(Seconds{60});
    cr_assert(fleet.views[0]->cannotRead({ObjectKind{"group"}, 1}).empty());
    cr_assert(fleet.views[0]->cannotRead({ObjectKind{"group"}, 2}).size() == 7);
    const std::vector<InstanceName> expected{SimulatedFleet::nameOf(3)};
    cr_assert(fleet.views[0]->behind(Revision{9}) == expected);
}

Test(view, largeFleetStaysWithinItsBudget)
{
    constexpr std::size_t size = 3500;
    SimulatedFleet fleet{size, 10};
    fleet.run(Seconds{3});
    std::fill(fleet.bytes.begin(), fleet.bytes.end(), 0);
    fleet.messages = 0;
    const auto from = fleet.now;
    // A death or a leaving proxy each second causes 1.5 updates, five times those of an ordinary day with 8,500 replacements.
    std::size_t victim = 100;
    for (int second = 0; second < 10; ++second) {
        if (second % 2 == 0) {
            fleet.up[victim] = false;
        } else {
            fleet.views[victim]->leave(fleet.now);
        }
        victim += 37;
        fleet.run(Seconds{1});
    }
    const auto span = secondsOf(fleet.now - from);
    const auto busiest = static_cast<double>(*std::max_element(fleet.bytes.begin(), fleet.bytes.end())) / span;
    std::uint64_t total = 0;
    for (const auto count : fleet.bytes) {
        total += count;
    }
    std::printf("3,500 proxies: %.2f messages sent per second, %.0f bytes per second in and out on average, %.0f at the busiest\n",
                static_cast<double>(fleet.messages) / span / size,
                static_cast<double>(total) / span / size,
                busiest);
    cr_assert(busiest < 11'000);
    constexpr std::size_t dead = 10;
    const auto name = SimulatedFleet::nameOf(dead);
    const auto groups = groupsOf(*fleet.views[0]->owners(), name, 10);
    cr_assert(fractionNaming(fleet, name, groups) == 1);
    fleet.up[dead] = false;
    const auto killedAt = fleet.now;
    double first = 0;
    double half = 0;
    while (fractionNaming(fleet, name, groups) > 0 && fleet.now - killedAt < Seconds{60}) {
        fleet.run(Milliseconds{250});
        const auto naming = fractionNaming(fleet, name, groups);
        const auto elapsed = secondsOf(fleet.now - killedAt);
        first = first == 0 && naming < 1 ? elapsed : first;
        half = half == 0 && naming <= 0.5 ? elapsed : half;
    }
    const auto all = secondsOf(fleet.now - killedAt);
    std::printf("of 100 sampled proxies, the first stops naming a dead owner after %.1f s, half after %.1f s, all after %.1f s\n",
                first,
                half,
                all);
    cr_assert(all < 20);
}
