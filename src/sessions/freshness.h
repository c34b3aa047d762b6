// The history of confirmed primary positions, which proves the age of a replica's data.
#pragma once

#include "base/mark.h"
#include "base/time.h"
#include "sessions/fwd.h"
#include "sessions/impl/timedmarks.h"

#include <cstddef>
#include <optional>

namespace cardamomstep {

/// Remembers when the primary's log was confirmed to hold every acknowledged write.
///
/// Each entry (t, P) states: every write acknowledged before t has a mark of at most P. A round of
/// reports proves it: t is when the round began, P the log mark of the primary that a majority confirmed.
///
/// The number of entries is bounded, fine for recent times and coarse for old ones. A dropped entry only makes
/// later answers stricter.
class FreshnessHistory
{
public:
    /// Entries kept.
    static constexpr std::size_t capacity = impl::TimedMarks::capacity;

    /// Adds that every write acknowledged before \a began has a mark of at most \a primaryMark.
    ///
    /// A round that began before the newest known one is ignored.
    void confirm(TimePoint began, const Mark &primaryMark);

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
