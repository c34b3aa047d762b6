// The history of confirmed marks, which proves the age of a replica's data.
#pragma once

#include "base/logposition.h"
#include "base/time.h"
#include "sessions/fwd.h"
#include "sessions/impl/timedpositions.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cardamomstep {

/// The lowest mark that is sure to cover every write acknowledged before a round of reports began.
///
/// \a logs are the log marks in those reports of the round that arrived, one for each member; \a members is the size of the group.
/// A write is acknowledged once a majority has it, so at least a majority less the missing reports shows it.
/// With two reports of three this is the greater mark, with three of three the second greatest. Neither role nor term
/// of the members matters. Returns nothing while the reports are less than a majority.
[[nodiscard]] std::optional<Mark> acknowledgedBound(std::vector<Mark> logs, std::size_t members);

/// Remembers which marks cover the writes acknowledged up to which time.
///
/// Each entry (t, M) states: every write acknowledged before t has a mark of at most M. A round of
/// reports proves it: t is when the round began, M its acknowledgedBound().
///
/// The number of entries is bounded, fine for recent times and coarse for old ones. A dropped entry only makes
/// later answers stricter.
class FreshnessHistory
{
public:
    /// Entries kept.
    static constexpr std::size_t capacity = impl::TimedMarks::capacity;

    /// Adds that every write acknowledged before \a began has a mark of at most \a bound.
    ///
    /// A round that began before the newest known one is ignored.
    void confirm(TimePoint began, const Mark &bound);

    /// The lowest known mark that covers every write acknowledged before \a time.
    ///
    /// Returns nothing when no round began at or after \a time; a new round is needed then.
    [[nodiscard]] std::optional<Mark> markCovering(TimePoint time) const noexcept
    {
        return marks_.markAt(time);
    }

    /// Number of entries held.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return marks_.size();
    }

private:
    impl::TimedMarks marks_;
};

} // namespace cardamomstep
