// The bounded history of confirmed primary positions.
#include "sessions/freshness.h"

namespace cardamomstep {

void FreshnessHistory::confirm(TimePoint began, const Mark &primaryMark)
{
    if (marks_.size() > 0 && began < marks_.last().time) {
        return;
    }
    // What was acknowledged before an earlier round lies within this mark too, so a higher one of an earlier round is not needed.
    while (marks_.size() > 0 && marks_.last().mark > primaryMark) {
        marks_.removeLast();
    }
    if (marks_.size() > 0 && (marks_.last().mark == primaryMark || marks_.last().time == began)) {
        marks_.last().time = began;
        return;
    }
    marks_.append(began, primaryMark);
}

} // namespace cardamomstep
