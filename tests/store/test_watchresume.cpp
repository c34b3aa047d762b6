// Tests of keeping up with the store: resuming after a 410, stale replies, the call budget and the load after an outage.
#include "modelstore.h"
#include "store/backoff.h"
#include "store/callbudget.h"
#include "store/watchresume.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <queue>

using namespace cardamomstep;

namespace {

constexpr TimePoint start{};
constexpr std::size_t fleetSize = 3500;
/// The store serves about two thousand reads a second.
constexpr int storeReadsPerSecond = 2000;

} // namespace

Test(watchresume, listsFirstThenWatches)
{
    WatchResume resume{{}, 1};
    cr_assert(std::holds_alternative<ListAll>(resume.next({}, start)));
    cr_assert(resume.onListing({Revision{7}, {}}, {}, start) == StoreReplyKind::Current);
    const auto step = resume.next(Revision{7}, start);
    cr_assert(std::holds_alternative<WatchAfter>(step));
    cr_assert(std::get<WatchAfter>(step).after == Revision{7});
}

Test(watchresume, emptyStoreIsListedOnce)
{
    WatchResume resume{{}, 1};
    cr_assert(resume.onListing({}, {}, start) == StoreReplyKind::Current);
    cr_assert(std::holds_alternative<WatchAfter>(resume.next({}, start)));
}

Test(watchresume, tooOldRevisionLeadsToAListing)
{
    WatchResume resume{{}, 1};
    cr_assert(resume.onChanges({Revision{7}, {}, {}, true}, Revision{7}, start) == StoreReplyKind::TooOld);
    cr_assert(std::holds_alternative<ListAll>(resume.next(Revision{7}, start)));
    cr_assert(resume.onListing({Revision{9}, {}}, Revision{7}, start) == StoreReplyKind::Current);
    cr_assert(std::holds_alternative<WatchAfter>(resume.next(Revision{9}, start)));
}

Test(watchresume, staleListingAfterATooOldRevisionIsRequestedAgain)
{
    WatchResume resume{{}, 1};
    (void)resume.onChanges({Revision{7}, {}, {}, true}, Revision{7}, start);
    cr_assert(resume.onListing({Revision{5}, {}}, Revision{7}, start) == StoreReplyKind::Stale);
    const auto step = resume.next(Revision{7}, start);
    cr_assert(std::holds_alternative<DelayUntil>(step));
    cr_assert(std::holds_alternative<ListAll>(resume.next(Revision{7}, std::get<DelayUntil>(step).time)));
}

Test(watchresume, watchResumesFromTheSameRevisionAfterStaleChanges)
{
    WatchResume resume{{}, 1};
    cr_assert(resume.onChanges({Revision{7}, Revision{4}, {}, false}, Revision{7}, start) == StoreReplyKind::Stale);
    const auto delay = resume.next(Revision{7}, start);
    cr_assert(std::holds_alternative<DelayUntil>(delay));
    const auto step = resume.next(Revision{7}, std::get<DelayUntil>(delay).time);
    cr_assert((step == StoreStep{WatchAfter{Revision{7}, WatchResumeOptions{}.watchTimeout}}));
}

Test(callbudget, neverAboveRateAndBurst)
{
    const bool holds = rc::check("budget holds", [] {
        const CallBudgetOptions options{{5, 10}, {2, 4}};
        CallBudget budget{options};
        auto now = start;
        int taken = 0;
        const auto steps = *rc::gen::inRange(1, 300);
        for (int step = 0; step < steps; ++step) {
            now += Milliseconds{*rc::gen::inRange(0, 200)};
            if (budget.take(CallKind::Read, now)) {
                ++taken;
            } else {
                const auto later = now + budget.timeUntilAvailable(CallKind::Read, now);
                RC_ASSERT(later > now);
            }
        }
        const std::chrono::duration<double> passed = now - start;
        RC_ASSERT(taken <= options.reads.burst + passed.count() * options.reads.perSecond + 1e-6);
    });
    cr_assert(holds);
}

Test(callbudget, budgetsOfTheWholeFleetStayWithinTheStoresRates)
{
    for (const std::size_t proxies : {std::size_t{1}, std::size_t{7}, std::size_t{100}, fleetSize}) {
        const auto options = callBudgetFor(proxies);
        const auto count = static_cast<double>(proxies);
        cr_assert(options.reads.perSecond * count <= storeReadsPerSecond / 2);
        cr_assert(options.writes.perSecond * count <= 150.001);
        cr_assert(options.reads.burst >= 2);
        cr_assert(options.writes.burst >= 2);
    }
}

namespace {

/// Returns the calls in each second when the store recovers at \a outageEnd and every proxy then needs \a callsAfter reads.
std::vector<int> callsPerSecondAround(Seconds outageEnd, int callsAfter)
{
    using Attempt = std::pair<TimePoint, std::size_t>;
    std::priority_queue<Attempt, std::vector<Attempt>, std::greater<>> attempts;
    std::vector<Random> randoms;
    std::vector<Backoff> backoffs(fleetSize, Backoff{BackoffOptions{}});
    std::vector<CallBudget> budgets(fleetSize, CallBudget{callBudgetFor(fleetSize)});
    std::vector<int> remaining(fleetSize, callsAfter);
    for (std::size_t node = 0; node < fleetSize; ++node) {
        randoms.emplace_back(node + 1);
        attempts.push({start, node});
    }
    std::vector<int> perSecond(static_cast<std::size_t>(outageEnd.count()) + 120);
    while (!attempts.empty()) {
        const auto [now, node] = attempts.top();
        attempts.pop();
        const auto second = static_cast<std::size_t>(std::chrono::duration_cast<Seconds>(now - start).count());
        if (second >= perSecond.size()) {
            break;
        }
        if (!budgets[node].take(CallKind::Read, now)) {
            attempts.push({now + budgets[node].timeUntilAvailable(CallKind::Read, now), node});
            continue;
        }
        ++perSecond[second];
        if (now < start + outageEnd) {
            attempts.push({now + backoffs[node].next(randoms[node]), node});
        } else if (--remaining[node] > 0) {
            attempts.push({now + Milliseconds{2}, node});
        }
    }
    return perSecond;
}

} // namespace

// Worst case: every proxy calls the store, whereas normally only the few watchers do.
Test(backoff, fleetStaysWithinTheStoresRatesWhenAnOutageEnds)
{
    constexpr Seconds outageEnd{180};
    const auto perSecond = callsPerSecondAround(outageEnd, 3);
    const auto end = perSecond.begin() + outageEnd.count();
    const auto peak = *std::max_element(end, perSecond.end());
    const auto duringOutage = *std::max_element(end - 60, end);
    std::printf("calls a second: at most %d in the last minute of the outage, at most %d after its end\n", duringOutage, peak);
    cr_assert(peak < storeReadsPerSecond);
    cr_assert(duringOutage < storeReadsPerSecond / 2);
}
