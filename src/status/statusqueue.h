// A queue of status records to write to the store: the newest of each key, at a limited rate.
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
    /// Minimum time between two writes.
    Milliseconds minWriteInterval{200};
    /// Delay after a failed write; doubles with each further failure up to `maxBackoff`.
    Milliseconds initialBackoff{500};
    Milliseconds maxBackoff{30'000};
    /// The maximum number of queued records; records with further keys are dropped.
    std::size_t maxPending = 4096;
};

/// Queues the status writes of one process.
///
/// A record that is added again before it was written replaces the older one, so a flapping state costs one write, not many.
class StatusQueue
{
public:
    explicit StatusQueue(const StatusLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Adds a record to be written; returns false when the queue is full.
    bool add(Record record);

    /// Removes and returns the record to write now; returns nothing before the next write is allowed or when the queue is empty.
    [[nodiscard]] std::optional<Record> next(TimePoint now);

    /// Records that the record from next() was written.
    void written() noexcept;

    /// Records that the record from next() could not be written; it is queued again unless a newer one replaced it.
    void failed(const Record &record, TimePoint now);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return pending_.size();
    }

private:
    StatusLimits limits_;
    /// Invariant: at most limits_.maxPending entries.
    std::map<RecordKey, Record> pending_;
    TimePoint nextWriteAt_;
    unsigned failures_ = 0;
};

} // namespace cardamomstep
