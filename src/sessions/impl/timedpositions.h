// A bounded series of times and ascending log positions, dense for recent times and sparse for old ones.
#pragma once

#include "base/logposition.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace cardamomstep::impl {

/// A series of (time, log position) pairs in which both ascend.
///
/// When the series is full, the pair is dropped whose neighbours are closest together in time relative to their age.
class TimedPositions
{
public:
    /// The maximum number of pairs.
    static constexpr std::size_t capacity = 48;

    struct Pair {
        TimePoint time;
        LogPosition position;
    };

    /// Appends a pair; \a time must not be before the last time and \a position must be above the last position.
    void append(TimePoint time, const LogPosition &position);

    /// Removes the last pair; only when size() is not 0.
    void removeLast() noexcept
    {
        --size_;
    }

    /// The last pair; only when size() is not 0.
    [[nodiscard]] Pair &last() noexcept
    {
        return pairs_[size_ - 1];
    }
    [[nodiscard]] const Pair &last() const noexcept
    {
        return pairs_[size_ - 1];
    }

    /// Returns the log position of the first pair at or after \a time; nothing when there is none.
    [[nodiscard]] std::optional<LogPosition> positionAt(TimePoint time) const noexcept;

    /// Returns the time of the first pair at or beyond \a position; nothing when there is none.
    [[nodiscard]] std::optional<TimePoint> timeOf(const LogPosition &position) const noexcept;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return size_;
    }

private:
    void dropDensest(TimePoint now);

    /// Invariant: the first size_ pairs ascend in time and log position.
    std::array<Pair, capacity> pairs_;
    std::size_t size_ = 0;
};

} // namespace cardamomstep::impl
