// Bounds on acknowledged writes and their history.
#include "sessions/freshness.h"

#include <algorithm>
#include <functional>

namespace cardamomstep {

std::optional<LogPosition> acknowledgedBound(std::vector<LogPosition> logs, std::size_t members)
{
    const auto majority = members / 2 + 1;
    if (logs.size() < majority) {
        return std::nullopt;
    }
    const auto missing = members - std::min(members, logs.size());
    const auto lowestCovering = logs.begin() + static_cast<std::ptrdiff_t>(majority - missing - 1);
    std::nth_element(logs.begin(), lowestCovering, logs.end(), std::greater<>{});
    return *lowestCovering;
}

void FreshnessHistory::confirm(TimePoint roundStart, const LogPosition &bound)
{
    if (positions_.size() > 0 && roundStart < positions_.last().time) {
        return;
    }
    // This bound also covers what was acknowledged before earlier rounds, so their entries with a higher position are dropped.
    while (positions_.size() > 0 && positions_.last().position > bound) {
        positions_.removeLast();
    }
    if (positions_.size() > 0 && (positions_.last().position == bound || positions_.last().time == roundStart)) {
        positions_.last().time = roundStart;
        return;
    }
    positions_.append(roundStart, bound);
}

} // namespace cardamomstep
