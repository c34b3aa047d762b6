// The records that wait to be written back: the newest of each name, at a bounded rate.
#pragma once

#include "base/time.h"
#include "records/record.h"
#include "status/fwd.h"

#include <cstddef>
#include <map>
#include <optional>

namespace cardamomstep {

/// Limits of a StatusQueue.
struct StatusLimits {
    /// Shortest time between two writes.
    Milliseconds minWriteInterval{200};
    /// Pause after a failed write; doubles up to the longest.
    Milliseconds initialBackoff{500};
    Milliseconds maxBackoff{30'000};
    /// Records that may wait; further new names are dropped.
    std::size_t maxPending = 4096;
};

/// Orders the writes of one process.
///
/// A record that is added again before it was written takes the older one's place, so a flapping state costs one write, not many.
class StatusQueue
{
public:
    explicit StatusQueue(const StatusLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Adds a record to be written; false when the queue is full.
    bool add(Record record);

    /// The record to write now, which leaves the queue; nothing while it is too early or none waits.
    [[nodiscard]] std::optional<Record> next(TimePoint now);

    /// The record that next() gave was written.
    void written() noexcept;

    /// The record that next() gave could not be written; it waits again unless a newer one took its place.
    void failed(const Record &record, TimePoint now);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return pending_.size();
    }

private:
    StatusLimits limits_;
    /// Invariant: at most limits_.most entries.
    std::map<RecordKey, Record> pending_;
    TimePoint notBefore_;
    unsigned failures_ = 0;
};

} // namespace cardamomstep
