// A bounded series of times and ascending log positions.
#include "sessions/impl/timedpositions.h"

#include <algorithm>

namespace cardamomstep::impl {

void TimedPositions::append(TimePoint time, const LogPosition &position)
{
    if (size_ == capacity) {
        dropDensest(time);
    }
    pairs_[size_] = Pair{time, position};
    ++size_;
}

void TimedPositions::dropDensest(TimePoint now)
{
    std::size_t densest = 1;
    double lowestRatio = 0;
    for (std::size_t index = 1; index + 1 < size_; ++index) {
        const auto gap = static_cast<double>((pairs_[index + 1].time - pairs_[index - 1].time).count());
        const auto age = static_cast<double>((now - pairs_[index - 1].time).count()) + 1;
        if (index == 1 || gap / age < lowestRatio) {
            lowestRatio = gap / age;
            densest = index;
        }
    }
    std::move(pairs_.data() + densest + 1, pairs_.data() + size_, pairs_.data() + densest);
    --size_;
}

std::optional<LogPosition> TimedPositions::positionAt(TimePoint time) const noexcept
{
    const auto *end = pairs_.data() + size_;
    const auto *found = std::lower_bound(pairs_.data(), end, time, [](const Pair &pair, TimePoint wanted) { return pair.time < wanted; });
    if (found == end) {
        return std::nullopt;
    }
    return found->position;
}

std::optional<TimePoint> TimedPositions::timeOf(const LogPosition &position) const noexcept
{
    const auto *end = pairs_.data() + size_;
    const auto *found =
        std::lower_bound(pairs_.data(), end, position, [](const Pair &pair, const LogPosition &wanted) { return pair.position < wanted; });
    if (found == end) {
        return std::nullopt;
    }
    return found->time;
}

} // namespace cardamomstep::impl
