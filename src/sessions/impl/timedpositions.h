// A bounded series of times and rising log marks, fine for recent times and coarse for old ones.
#pragma once

#include "base/logposition.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace cardamomstep::impl {

/// Holds (time, mark) pairs in which both rise.
///
/// When it is full, the pair is dropped whose neighbours lie closest together in proportion to their age.
class TimedMarks
{
public:
    /// Pairs kept.
    static constexpr std::size_t capacity = 48;

    struct Pair {
        TimePoint time;
        Mark mark;
    };

    /// Adds a pair at the end; \a time must not lie before the last one and \a mark must lie above it.
    void append(TimePoint time, const Mark &mark);

    /// Removes the last pair.
    void removeLast() noexcept
    {
        --size_;
    }

    /// The last pair, to be changed; only when size() is not 0.
    [[nodiscard]] Pair &last() noexcept
    {
        return pairs_[size_ - 1];
    }
    [[nodiscard]] const Pair &last() const noexcept
    {
        return pairs_[size_ - 1];
    }

    /// The mark of the first pair at or after \a time.
    [[nodiscard]] std::optional<Mark> markAt(TimePoint time) const noexcept;

    /// The time of the first pair whose mark is at or beyond \a mark.
    [[nodiscard]] std::optional<TimePoint> timeOf(const Mark &mark) const noexcept;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return size_;
    }

private:
    void dropDensest(TimePoint now);

    /// Invariant: the first size_ pairs ascend in time and mark.
    std::array<Pair, capacity> pairs_;
    std::size_t size_ = 0;
};

} // namespace cardamomstep::impl
