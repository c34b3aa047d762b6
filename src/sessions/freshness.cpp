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
    const auto place = logs.begin() + static_cast<std::ptrdiff_t>(majority - missing - 1);
    std::nth_element(logs.begin(), place, logs.end(), std::greater<>{});
    return *place;
}

void FreshnessHistory::confirm(TimePoint began, const LogPosition &bound)
{
    if (positions_.size() > 0 && began < positions_.last().time) {
        return;
    }
    // What was acknowledged before an earlier round lies within this mark too, so a higher one of an earlier round is not needed.
    while (positions_.size() > 0 && positions_.last().position > bound) {
        positions_.removeLast();
    }
    if (positions_.size() > 0 && (positions_.last().position == bound || positions_.last().time == began)) {
        positions_.last().time = began;
        return;
    }
    positions_.append(began, bound);
}

} // namespace cardamomstep
