// The history of confirmed log positions, which proves how old a replica's data may be.
#pragma once

#include "base/logposition.h"
#include "base/time.h"
#include "sessions/fwd.h"
#include "sessions/impl/timedpositions.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cardamomstep {

/// Returns the lowest log position that is sure to cover every write acknowledged before a round of reports began.
///
/// \a logs holds the last log position from each report of the round that arrived, one per member; \a members is the size of the
/// group. A write is acknowledged once a majority has it, so at least a majority minus the missing reports shows it.
/// With two reports of three the result is the greater position, with three of three the second greatest. The roles and terms of
/// the members do not matter. Returns nothing while less than a majority reported.
[[nodiscard]] std::optional<LogPosition> acknowledgedBound(std::vector<LogPosition> logs, std::size_t members);

/// Maps a time to a log position that covers all writes acknowledged before it.
///
/// Each entry (t, P) states that every write acknowledged before t has a log position of at most P. A round of
/// reports proves it: t is when the round began, P its acknowledgedBound().
///
/// The number of entries is bounded; they are dense for recent times and sparse for old ones. Dropping an entry only makes
/// later results stricter.
class FreshnessHistory
{
public:
    /// The maximum number of entries.
    static constexpr std::size_t capacity = impl::TimedPositions::capacity;

    /// Records that every write acknowledged before \a roundStart has a log position of at most \a bound.
    ///
    /// A round that began before the newest recorded one is ignored.
    void confirm(TimePoint roundStart, const LogPosition &bound);

    /// Returns the lowest known log position that covers every write acknowledged before \a time.
    ///
    /// Returns nothing when no recorded round began at or after \a time; a new round is needed then.
    [[nodiscard]] std::optional<LogPosition> positionCovering(TimePoint time) const noexcept
    {
        return positions_.positionAt(time);
    }

    /// Returns the number of entries.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return positions_.size();
    }

private:
    impl::TimedPositions positions_;
};

} // namespace cardamomstep
