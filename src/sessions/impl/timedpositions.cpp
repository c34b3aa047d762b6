// A bounded series of times and rising log marks.
#include "sessions/impl/timedpositions.h"

#include <algorithm>

namespace cardamomstep::impl {

void TimedMarks::append(TimePoint time, const Mark &mark)
{
    if (size_ == capacity) {
        dropDensest(time);
    }
    pairs_[size_] = Pair{time, mark};
    ++size_;
}

void TimedMarks::dropDensest(TimePoint now)
{
    std::size_t densest = 1;
    double least = 0;
    for (std::size_t index = 1; index + 1 < size_; ++index) {
        const auto gap = static_cast<double>((pairs_[index + 1].time - pairs_[index - 1].time).count());
        const auto age = static_cast<double>((now - pairs_[index - 1].time).count()) + 1;
        if (index == 1 || gap / age < least) {
            least = gap / age;
            densest = index;
        }
    }
    std::move(pairs_.data() + densest + 1, pairs_.data() + size_, pairs_.data() + densest);
    --size_;
}

std::optional<Mark> TimedMarks::markAt(TimePoint time) const noexcept
{
    const auto *end = pairs_.data() + size_;
    const auto *place = std::lower_bound(pairs_.data(), end, time, [](const Pair &pair, TimePoint wanted) { return pair.time < wanted; });
    if (place == end) {
        return std::nullopt;
    }
    return place->mark;
}

std::optional<TimePoint> TimedMarks::timeOf(const Mark &mark) const noexcept
{
    const auto *end = pairs_.data() + size_;
    const auto *place = std::lower_bound(pairs_.data(), end, mark, [](const Pair &pair, const Mark &wanted) { return pair.mark < wanted; });
    if (place == end) {
        return std::nullopt;
    }
    return place->time;
}

} // namespace cardamomstep::impl
