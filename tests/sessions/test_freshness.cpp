// Tests of the history of confirmed log positions.
#include "sessions/freshness.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <vector>

using namespace cardamomstep;

namespace {

TimePoint at(std::int64_t microseconds)
{
    return TimePoint{Microseconds{microseconds}};
}

LogPosition positionOf(std::uint64_t position)
{
    return LogPosition{Term{1, 1}, position};
}

} // namespace

// Writes are acknowledged at random times; rounds sample the log. A position that the history returns must cover every
// write that was acknowledged before the queried time.
Test(sessions, historyCoversEveryAcknowledgedWrite)
{
    const bool holds = rc::check("the history covers acknowledged writes", []() {
        FreshnessHistory history;
        std::vector<std::pair<TimePoint, std::uint64_t>> acknowledged;
        std::int64_t now = 0;
        std::uint64_t position = 0;
        const auto steps = *rc::gen::inRange(1, 400);
        for (int step = 0; step < steps; ++step) {
            now += *rc::gen::inRange(0, 20'000);
            if (*rc::gen::inRange(0, 2) == 0) {
                ++position;
                acknowledged.emplace_back(at(now), position);
                continue;
            }
            // The round began up to 9 ms ago; the primary's log may have grown since.
            const auto roundStart = now - *rc::gen::inRange(0, 9'000);
            history.confirm(at(roundStart), positionOf(position));
            const auto queriedTime = at(now - *rc::gen::inRange<std::int64_t>(0, 3'000'000));
            const auto covering = history.positionCovering(queriedTime);
            for (const auto &[time, written] : acknowledged) {
                RC_ASSERT(!covering || time >= queriedTime || positionOf(written) <= *covering);
            }
        }
        RC_ASSERT(history.size() <= FreshnessHistory::capacity);
    });
    cr_assert(holds);
}

Test(sessions, historyIsDenseForRecentTimesAndCoversOldOnes)
{
    FreshnessHistory history;
    constexpr std::int64_t hour = 3'600'000'000;
    constexpr std::int64_t step = 10'000;
    for (std::int64_t time = 0; time < hour; time += step) {
        history.confirm(at(time), positionOf(static_cast<std::uint64_t>(time / step)));
    }
    for (const std::int64_t age : {50'000, 1'000'000, 30'000'000, 600'000'000}) {
        const auto exact = static_cast<std::uint64_t>((hour - age) / step);
        const auto covering = history.positionCovering(at(hour - age));
        cr_assert(bool(covering));
        cr_assert(covering->index >= exact);
        const auto tooStrictBy = static_cast<double>(covering->index - exact) * step / static_cast<double>(age);
        std::printf("history: age %lld ms is treated as %.1f%% less\n", static_cast<long long>(age / 1000), 100 * tooStrictBy);
        cr_assert(tooStrictBy < 0.5);
    }
}

Test(sessions, historyReturnsNothingAfterTheLastRound)
{
    FreshnessHistory history;
    cr_assert(!history.positionCovering(at(0)));
    history.confirm(at(100), positionOf(5));
    cr_assert(history.positionCovering(at(100)) == positionOf(5));
    cr_assert(!history.positionCovering(at(101)));
}

Test(sessions, laterRoundWithALowerPositionReplacesTheHigherOne)
{
    FreshnessHistory history;
    history.confirm(at(100), positionOf(12));
    history.confirm(at(200), positionOf(11));
    cr_assert(history.positionCovering(at(100)) == positionOf(11));
    history.confirm(at(150), positionOf(20));
    cr_assert(history.positionCovering(at(200)) == positionOf(11));
}
