// Queues status records and spaces their writes.
#include "status/statusqueue.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

bool StatusQueue::add(Record record)
{
    auto key = record.key();
    const bool isNew = pending_.find(key) == pending_.end();
    if (isNew && pending_.size() >= limits_.maxPending) {
        return false;
    }
    pending_.insert_or_assign(std::move(key), std::move(record));
    return true;
}

std::optional<Record> StatusQueue::next(TimePoint now)
{
    if (pending_.empty() || now < nextWriteAt_) {
        return std::nullopt;
    }
    auto first = pending_.begin();
    auto record = std::move(first->second);
    pending_.erase(first);
    nextWriteAt_ = now + limits_.minWriteInterval;
    return record;
}

void StatusQueue::written() noexcept
{
    failures_ = 0;
}

void StatusQueue::failed(const Record &record, TimePoint now)
{
    constexpr unsigned maxDoublings = 10;
    const auto doublings = std::min(failures_, maxDoublings);
    const auto backoff = std::min(limits_.maxBackoff, limits_.initialBackoff * (1U << doublings));
    ++failures_;
    nextWriteAt_ = now + backoff;
    pending_.try_emplace(record.key(), record);
}

} // namespace cardamomstep
