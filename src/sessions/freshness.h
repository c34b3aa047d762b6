// The history of confirmed primary positions, which proves the age of a replica's data.
#pragma once

#include "base/mark.h"
#include "base/time.h"
#include "sessions/fwd.h"

#include <array>
#include <cstddef>
#include <optional>

namespace cardamomstep {

/// Remembers when the primary's log was confirmed to hold every acknowledged write.
///
/// Each entry (t, P) states: every write acknowledged before t has a mark of at most P. A round of
/// reports proves it: t is when the round began, P the log mark of the primary that a majority confirmed.
///
/// The number of entries is fixed. When it is full, the entry is dropped whose neighbours lie closest together in
/// proportion to their age, so the history is fine for recent times and coarse for old ones. Dropping an entry only
/// makes later answers stricter.
class FreshnessHistory
{
public:
    /// Entries kept.
    static constexpr std::size_t capacity = 48;

    /// Adds that every write acknowledged before \a began has a mark of at most \a primaryMark.
    ///
    /// Rounds may be reported out of order; one that began before the newest entry is ignored.
    void confirm(TimePoint began, const Mark &primaryMark);

    /// The lowest known mark that covers every write acknowledged before \a time.
    ///
    /// Returns nothing when no round began at or after \a time; a new round is needed then.
    [[nodiscard]] std::optional<Mark> markCovering(TimePoint time) const noexcept;

    /// The newest confirmed mark; nothing before the first round.
    [[nodiscard]] std::optional<Mark> newest() const noexcept;

    /// Number of entries held.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return size_;
    }

private:
    struct Entry {
        TimePoint began;
        Mark mark;
    };

    void dropDensest(TimePoint now);

    /// Invariant: the first size_ entries ascend by `began`, and their marks do not descend.
    std::array<Entry, capacity> entries_;
    std::size_t size_ = 0;
};

} // namespace cardamomstep
