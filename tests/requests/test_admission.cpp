// Tests of admission: single rules, random operations, and goodput and fairness in virtual time.
#include "requests/admission.h"

#include "base/random.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace cardamomstep;

namespace {

TimePoint at(std::int64_t microseconds)
{
    return TimePoint{Microseconds{microseconds}};
}

AdmissionRequest requestOf(std::uint64_t ticket, std::int64_t deadline, const char *service = "payroll")
{
    return AdmissionRequest{ticket, Lane::Primary, ServiceName{service}, at(deadline)};
}

std::vector<std::uint64_t> admitted(const std::vector<AdmissionAction> &actions)
{
    std::vector<std::uint64_t> tickets;
    for (const auto &action : actions) {
        if (const auto *found = std::get_if<Admitted>(&action)) {
            tickets.push_back(found->ticket);
        }
    }
    return tickets;
}

std::vector<Refused> refused(const std::vector<AdmissionAction> &actions)
{
    std::vector<Refused> found;
    for (const auto &action : actions) {
        if (const auto *one = std::get_if<Refused>(&action)) {
            found.push_back(*one);
        }
    }
    return found;
}

using Tickets = std::vector<std::uint64_t>;

} // namespace

Test(requests, waitingRequestsRunInOrderOfDeadline)
{
    AdmissionQueue queue;
    cr_assert(admitted(queue.request(requestOf(1, 900'000), at(0))) == Tickets{1});
    cr_assert(queue.request(requestOf(2, 800'000), at(1)).empty());
    cr_assert(queue.request(requestOf(3, 300'000), at(2)).empty());
    cr_assert(admitted(queue.finished(1, at(5'000))) == Tickets{3});
    cr_assert(admitted(queue.finished(3, at(9'000))) == Tickets{2});
    cr_assert(queue.running(Lane::Primary) == 1 && queue.waiting(Lane::Primary) == 0);
}

Test(requests, lanesDoNotUseEachOthersSlots)
{
    AdmissionQueue queue;
    (void)queue.setSlots(Lane::Replica, 2, at(0));
    auto read = requestOf(1, 900'000);
    read.lane = Lane::Replica;
    cr_assert(admitted(queue.request(read, at(0))) == Tickets{1});
    read.ticket = 2;
    cr_assert(admitted(queue.request(read, at(0))) == Tickets{2});
    read.ticket = 3;
    cr_assert(queue.request(read, at(0)).empty());
    cr_assert(admitted(queue.request(requestOf(4, 900'000), at(0))) == Tickets{4});
}

Test(requests, aRequestThatCannotFinishIsRefusedAtOnceWithARetryAfter)
{
    AdmissionQueue queue;
    const auto tooShort = refused(queue.request(requestOf(1, 1'000), at(0)));
    cr_assert(tooShort.size() == 1 && tooShort[0].error.kind == ErrorKind::Overloaded);
    cr_assert(tooShort[0].error.ran == Ran::No && tooShort[0].error.retryAfter);
    std::size_t refusedCount = 0;
    for (std::uint64_t ticket = 2; ticket < 40; ++ticket) {
        refusedCount += refused(queue.request(requestOf(ticket, 50'000), at(0))).size();
    }
    cr_assert(refusedCount > 25, "about ten requests of 5 ms fit 50 ms");
}

Test(requests, aNewRequestDoesNotDisplaceAnAcceptedOne)
{
    AdmissionQueue queue;
    (void)queue.request(requestOf(1, 900'000), at(0));
    cr_assert(refused(queue.request(requestOf(2, 14'000), at(0))).empty());
    cr_assert(refused(queue.request(requestOf(3, 13'500), at(0))).size() == 1);
    cr_assert(refused(queue.request(requestOf(4, 900'000), at(0))).empty());
}

Test(requests, waitingRequestsExpireWhenTheyCanNoLongerFinish)
{
    AdmissionQueue queue;
    (void)queue.request(requestOf(1, 900'000), at(0));
    (void)queue.request(requestOf(2, 20'000), at(0));
    const auto due = queue.nextWake();
    cr_assert(due == at(15'000));
    cr_assert(queue.wake(at(14'999)).empty());
    const auto removed = refused(queue.wake(*due));
    cr_assert(removed.size() == 1 && removed[0].ticket == 2);
    cr_assert(!queue.nextWake());
}

Test(requests, aServiceBelowItsShareGoesBeforeOneThatExceedsIts)
{
    AdmissionLimits limits;
    limits.maxShareCredit = Microseconds{10'000};
    AdmissionQueue queue{limits};
    queue.setShares({{ServiceName{"small"}, 0.1}, {ServiceName{"large"}, 0.9}});
    (void)queue.request(requestOf(1, 900'000, "small"), at(0));
    (void)queue.request(requestOf(2, 910'000, "small"), at(0));
    cr_assert(admitted(queue.finished(1, at(40'000))) == Tickets{2}, "small has overdrawn its share, but no other service waits");
    (void)queue.request(requestOf(3, 700'000, "small"), at(40'000));
    (void)queue.request(requestOf(4, 800'000, "large"), at(40'000));
    cr_assert(admitted(queue.finished(2, at(45'000))) == Tickets{4});
    cr_assert(admitted(queue.finished(4, at(50'000))) == Tickets{3});
}

Test(requests, cancelledRequestsLeaveTheQueue)
{
    AdmissionQueue queue;
    (void)queue.request(requestOf(1, 900'000), at(0));
    (void)queue.request(requestOf(2, 900'000), at(0));
    cr_assert(queue.cancel(2, at(1)).empty());
    cr_assert(queue.finished(1, at(5'000)).empty());
    cr_assert(queue.finished(77, at(5'000)).empty());
}

// Every ticket gets at most one admission or refusal, slots are never exceeded, and nothing waits past its deadline.
Test(requests, theQueueKeepsItsGuaranteesUnderRandomOperations)
{
    const bool holds = rc::check("admission", []() {
        AdmissionQueue queue;
        queue.setShares({{ServiceName{"a"}, 0.5}, {ServiceName{"b"}, 0.25}});
        std::uint32_t slots = 1;
        std::map<std::uint64_t, std::int64_t> waiting;
        std::set<std::uint64_t> running;
        std::int64_t now = 0;
        const auto apply = [&](const std::vector<AdmissionAction> &actions) {
            for (const auto ticket : admitted(actions)) {
                RC_ASSERT(waiting.count(ticket) == 1U);
                RC_ASSERT(waiting[ticket] > now);
                waiting.erase(ticket);
                RC_ASSERT(running.insert(ticket).second);
            }
            for (const auto &one : refused(actions)) {
                RC_ASSERT(waiting.erase(one.ticket) == 1U);
                RC_ASSERT(one.error.retryAfter.has_value());
            }
        };
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 1; step <= steps; ++step) {
            now += *rc::gen::inRange(0, 4'000);
            if (const auto due = queue.nextWake(); due && *due <= at(now)) {
                apply(queue.wake(at(now)));
            }
            const auto ticket = static_cast<std::uint64_t>(step);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                if (!running.empty()) {
                    const auto done = *running.begin();
                    running.erase(done);
                    apply(queue.finished(done, at(now)));
                }
                break;
            case 1:
                slots = *rc::gen::inRange(1U, 4U);
                apply(queue.setSlots(Lane::Primary, slots, at(now)));
                break;
            default:
                const auto *service = *rc::gen::element("a", "b", "c");
                const auto deadline = now + *rc::gen::inRange(0, 60'000);
                waiting[ticket] = deadline;
                apply(queue.request(requestOf(ticket, deadline, service), at(now)));
            }
            RC_ASSERT(queue.waiting(Lane::Primary) == waiting.size());
            RC_ASSERT(queue.running(Lane::Primary) == running.size());
            const bool idleSlot = running.size() < slots;
            RC_ASSERT(!idleSlot || waiting.empty());
            for (const auto &[id, deadline] : waiting) {
                RC_ASSERT(deadline > now);
            }
        }
    });
    cr_assert(holds);
}

namespace {

// Times of streams and loads are in microseconds.
struct Stream {
    std::string service;
    /// Requests per second.
    double rate = 0;
    std::int64_t window = 100'000;
    /// The stream sends only in every second interval of this length, or always when it is 0.
    std::int64_t burstInterval = 0;
};

struct Load {
    std::uint32_t slots = 2;
    double meanService = 5'000;
    std::int64_t length = 20'000'000;
    std::vector<Stream> streams;
    std::vector<ServiceShare> shares;
};

struct Outcome {
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refusedOnArrival = 0;
    std::uint64_t expired = 0;
    /// Refused after more than half of the window.
    std::uint64_t refusedLate = 0;
};

std::int64_t exponential(Random &random, double mean)
{
    const auto uniform = (static_cast<double>(random() >> 11U) + 1) / 9007199254740993.0;
    return static_cast<std::int64_t>(-std::log(uniform) * mean);
}

// Simulates a load on one lane; half of each service time is fixed and half is exponentially distributed.
class LaneSimulation
{
public:
    explicit LaneSimulation(const Load &load)
        : load_(load)
        , random_(11)
    {
        queue_.setShares(load.shares);
        (void)queue_.setSlots(Lane::Primary, load.slots, at(0));
        for (std::size_t stream = 0; stream < load.streams.size(); ++stream) {
            arrivals_.emplace(nextArrival(stream, 0), stream);
        }
    }

    std::map<std::string, Outcome> simulate()
    {
        while (!arrivals_.empty() || !ends_.empty()) {
            const auto arrival = arrivals_.empty() ? never : arrivals_.begin()->first;
            const auto end = ends_.empty() ? never : ends_.begin()->first;
            const auto due = queue_.nextWake();
            const auto wake = due ? due->time_since_epoch().count() : never;
            now_ = std::min({arrival, end, wake});
            if (wake == now_) {
                apply(queue_.wake(at(now_)), 0);
            } else if (end == now_) {
                finish();
            } else {
                arrive();
            }
        }
        return outcomes_;
    }

private:
    static constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

    struct Pending {
        std::string service;
        std::int64_t arrived = 0;
        std::int64_t deadline = 0;
    };

    std::int64_t nextArrival(std::size_t stream, std::int64_t from)
    {
        const auto &source = load_.streams[stream];
        auto time = from + 1 + exponential(random_, 1'000'000 / source.rate);
        if (source.burstInterval > 0 && (time / source.burstInterval) % 2 == 0) {
            time = (time / source.burstInterval + 1) * source.burstInterval;
        }
        return time;
    }

    void arrive()
    {
        const auto stream = arrivals_.begin()->second;
        arrivals_.erase(arrivals_.begin());
        if (now_ < load_.length) {
            arrivals_.emplace(nextArrival(stream, now_), stream);
        }
        const auto &source = load_.streams[stream];
        const auto ticket = ++lastTicket_;
        pending_[ticket] = Pending{source.service, now_, now_ + source.window};
        ++outcomes_[source.service].offered;
        apply(queue_.request(AdmissionRequest{ticket, Lane::Primary, ServiceName{source.service}, at(now_ + source.window)}, at(now_)),
              ticket);
    }

    void finish()
    {
        const auto ticket = ends_.begin()->second;
        ends_.erase(ends_.begin());
        const auto done = pending_[ticket];
        pending_.erase(ticket);
        auto &outcome = outcomes_[done.service];
        ++(now_ <= done.deadline ? outcome.inTime : outcome.late);
        apply(queue_.finished(ticket, at(now_)), 0);
    }

    void apply(const std::vector<AdmissionAction> &actions, std::uint64_t arriving)
    {
        for (const auto ticket : admitted(actions)) {
            const auto slotTime = static_cast<std::int64_t>(load_.meanService / 2) + exponential(random_, load_.meanService / 2);
            ends_.emplace(now_ + slotTime, ticket);
        }
        for (const auto &one : refused(actions)) {
            const auto &removed = pending_[one.ticket];
            auto &outcome = outcomes_[removed.service];
            outcome.refusedLate += now_ - removed.arrived > removed.deadline - now_ ? 1 : 0;
            ++(one.ticket == arriving ? outcome.refusedOnArrival : outcome.expired);
            pending_.erase(one.ticket);
        }
    }

    Load load_;
    Random random_;
    AdmissionQueue queue_;
    std::multimap<std::int64_t, std::size_t> arrivals_;
    std::multimap<std::int64_t, std::uint64_t> ends_;
    std::map<std::uint64_t, Pending> pending_;
    std::map<std::string, Outcome> outcomes_;
    std::uint64_t lastTicket_ = 0;
    std::int64_t now_ = 0;
};

double perSecond(std::uint64_t count, const Load &load)
{
    return static_cast<double>(count) * 1'000'000 / static_cast<double>(load.length);
}

// Goodput of the same kind of load when served in arrival order without any refusal.
double fifoGoodput(const Load &load, double rate, std::int64_t window)
{
    Random random{11};
    std::vector<std::int64_t> freeAt(load.slots, 0);
    std::uint64_t inTime = 0;
    for (std::int64_t now = 0; now < load.length; now += 1 + exponential(random, 1'000'000 / rate)) {
        const auto slot = std::min_element(freeAt.begin(), freeAt.end());
        const auto slotTime = static_cast<std::int64_t>(load.meanService / 2) + exponential(random, load.meanService / 2);
        *slot = std::max(now, *slot) + slotTime;
        const auto requestWindow = random.below(10) < 7 ? window : 3 * window;
        inTime += *slot <= now + requestWindow ? 1 : 0;
    }
    return perSecond(inTime, load);
}

void goodputUnderOverload(const char *name, std::uint32_t slots, double meanService, std::int64_t window)
{
    double peak = 0;
    for (const double loadFactor : {1.0, 2.0, 5.0}) {
        Load load;
        load.slots = slots;
        load.meanService = meanService;
        const auto capacity = slots * 1'000'000 / meanService;
        load.streams = {{"s", capacity * loadFactor * 0.7, window}, {"s", capacity * loadFactor * 0.3, 3 * window}};
        const auto outcome = LaneSimulation{load}.simulate()["s"];
        const auto goodput = perSecond(outcome.inTime, load);
        peak = std::max(peak, goodput);
        std::printf("admission %-10s %.0fx: %6.1f/s of %6.1f/s in time (fifo %6.1f/s), %llu late, %llu refused on arrival, %llu later "
                    "(%llu in the second "
                    "half of the window)\n",
                    name,
                    loadFactor,
                    goodput,
                    capacity,
                    fifoGoodput(load, capacity * loadFactor, window),
                    static_cast<unsigned long long>(outcome.late),
                    static_cast<unsigned long long>(outcome.refusedOnArrival),
                    static_cast<unsigned long long>(outcome.expired),
                    static_cast<unsigned long long>(outcome.refusedLate));
        cr_assert(goodput >= 0.9 * peak);
        cr_assert(goodput >= 0.8 * capacity);
    }
}

} // namespace

Test(requests, goodputHoldsUnderOverload)
{
    goodputUnderOverload("nortesoft", 2, 6'000, 100'000);
    goodputUnderOverload("kaheksa", 3, 5'000, 80'000);
    goodputUnderOverload("short", 2, 6'000, 30'000);
}

namespace {

struct Compared {
    std::map<std::string, Outcome> shared;
    std::map<std::string, Outcome> split;
};

// Two services on three slots: shared with guaranteed shares, or split into one slot for "a" and two for "b".
Compared compare(const std::vector<Stream> &streams)
{
    Compared result;
    Load load;
    load.slots = 3;
    load.streams = streams;
    load.shares = {{ServiceName{"a"}, 1.0 / 3}, {ServiceName{"b"}, 2.0 / 3}};
    result.shared = LaneSimulation{load}.simulate();
    for (const auto &stream : streams) {
        Load splitLoad;
        splitLoad.slots = stream.service == "a" ? 1 : 2;
        splitLoad.streams = {stream};
        result.split[stream.service] = LaneSimulation{splitLoad}.simulate()[stream.service];
    }
    return result;
}

std::uint64_t total(const std::map<std::string, Outcome> &outcomes)
{
    std::uint64_t sum = 0;
    for (const auto &[service, outcome] : outcomes) {
        sum += outcome.inTime;
    }
    return sum;
}

Compared compareAndPrint(const char *name, const std::vector<Stream> &streams)
{
    auto result = compare(streams);
    for (const auto *service : {"a", "b"}) {
        std::printf("shares %-22s %s: offered %llu, in time %llu shared, %llu split\n",
                    name,
                    service,
                    static_cast<unsigned long long>(result.shared[service].offered),
                    static_cast<unsigned long long>(result.shared[service].inTime),
                    static_cast<unsigned long long>(result.split[service].inTime));
    }
    return result;
}

} // namespace

Test(requests, sharedSlotsExceedAStaticSplitAndKeepTheGuarantee)
{
    // One service sends bursts while the other sends little.
    auto bursts = compareAndPrint("one bursts", {{"a", 500, 100'000, 2'000'000}, {"b", 100}});
    cr_assert(total(bursts.shared) > total(bursts.split));
    // One service floods; the other stays within its share.
    auto flood = compareAndPrint("one floods", {{"a", 3'000}, {"b", 350}});
    cr_assert(static_cast<double>(flood.shared["b"].inTime) >= 0.97 * static_cast<double>(flood.split["b"].inTime));
    cr_assert(total(flood.shared) >= total(flood.split));
    // Both flood: each gets at least nearly its share.
    auto both = compareAndPrint("both flood", {{"a", 2'000}, {"b", 2'000}});
    cr_assert(static_cast<double>(both.shared["a"].inTime) >= 0.9 * static_cast<double>(both.split["a"].inTime));
    cr_assert(static_cast<double>(both.shared["b"].inTime) >= 0.9 * static_cast<double>(both.split["b"].inTime));
}
