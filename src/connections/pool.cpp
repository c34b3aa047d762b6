// Accounting of one proxy's connections to one member.
#include "connections/pool.h"

#include <algorithm>

namespace cardamomstep {

namespace {

/// The number of doublings after which the backoff no longer grows.
constexpr std::uint32_t maxDoublings = 8;

} // namespace

std::vector<ConnectionKey> ConnectionPool::setAllowed(std::uint32_t allowed, TimePoint /*now*/)
{
    allowed_ = allowed;
    std::vector<ConnectionKey> surplus;
    while (open() > allowed_) {
        const auto *oldest = oldestIdle();
        if (oldest == nullptr) {
            break;
        }
        surplus.push_back(oldest->key);
        closed(surplus.back());
    }
    return surplus;
}

ConnectionStep ConnectionPool::acquire(TimePoint deadline, TimePoint now)
{
    if (auto *entry = newestIdle()) {
        entry->phase = Phase::Busy;
        entry->since = now;
        return ReuseConnection{entry->key};
    }
    const TimePoint expectedOpenAt = std::max(now, nextOpenAt_) + limits_.expectedOpenTime;
    const bool mayOpen = open() < allowed_ && opening() < limits_.maxOpening && now >= nextOpenAt_;
    if (mayOpen && expectedOpenAt < deadline) {
        entries_.push_back(Entry{nextKey_, Phase::Opening, now});
        return OpenConnection{nextKey_++};
    }
    const bool mayBecomeAvailable = !entries_.empty();
    if (now >= deadline || (!mayBecomeAvailable && expectedOpenAt >= deadline)) {
        const auto wait = std::max(wholeMilliseconds(expectedOpenAt - now), limits_.expectedOpenTime);
        return NoConnection{
            Error{ErrorKind::EndpointUnreachable, "no connection to the member is available before the deadline"}.withRetryAfter(wait)};
    }
    if (allowed_ == 0) {
        const Error error{ErrorKind::EndpointUnreachable, "this proxy's quota of the member's connections is zero"};
        return NoConnection{Error{error}.withRetryAfter(limits_.initialBackoff)};
    }
    const TimePoint retryAt = now < nextOpenAt_ ? nextOpenAt_ : now + limits_.expectedOpenTime;
    return AwaitConnection{std::min(retryAt, deadline)};
}

void ConnectionPool::opened(ConnectionKey key, TimePoint now)
{
    if (auto *entry = find(key)) {
        entry->phase = Phase::Busy;
        entry->since = now;
        failures_ = 0;
    }
}

void ConnectionPool::openFailed(ConnectionKey key, ConnectionFault fault, TimePoint now)
{
    closed(key);
    const auto doublings = fault == ConnectionFault::NoConnection ? 0U : std::min(failures_, maxDoublings);
    const auto backoff = std::min(limits_.maxBackoff, limits_.initialBackoff * (1U << doublings));
    nextOpenAt_ = std::max<TimePoint>(nextOpenAt_, now + backoff);
    ++failures_;
}

bool ConnectionPool::release(ConnectionKey key, TimePoint now)
{
    auto *entry = find(key);
    if (entry == nullptr || entry->phase != Phase::Busy) {
        return false;
    }
    if (open() > allowed_) {
        closed(key);
        return false;
    }
    entry->phase = Phase::Idle;
    entry->since = now;
    return true;
}

void ConnectionPool::closed(ConnectionKey key)
{
    const auto removed = std::remove_if(entries_.begin(), entries_.end(), [&](const Entry &entry) { return entry.key == key; });
    entries_.erase(removed, entries_.end());
}

std::vector<ConnectionKey> ConnectionPool::wake(TimePoint now)
{
    std::vector<ConnectionKey> surplus;
    for (;;) {
        const auto due = nextWake();
        if (!due || now < *due) {
            return surplus;
        }
        surplus.push_back(oldestIdle()->key);
        closed(surplus.back());
    }
}

std::optional<TimePoint> ConnectionPool::nextWake() const noexcept
{
    if (idle() <= limits_.minIdle) {
        return std::nullopt;
    }
    std::optional<TimePoint> first;
    for (const auto &entry : entries_) {
        if (entry.phase == Phase::Idle) {
            const TimePoint due = entry.since + limits_.idleTimeout;
            first = first ? std::min(*first, due) : due;
        }
    }
    return first;
}

std::uint32_t ConnectionPool::idle() const noexcept
{
    return count(Phase::Idle);
}

std::uint32_t ConnectionPool::opening() const noexcept
{
    return count(Phase::Opening);
}

ConnectionPool::Entry *ConnectionPool::find(ConnectionKey key) noexcept
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [&](const Entry &entry) { return entry.key == key; });
    return found == entries_.end() ? nullptr : &*found;
}

std::uint32_t ConnectionPool::count(Phase phase) const noexcept
{
    const auto matches = std::count_if(entries_.begin(), entries_.end(), [&](const Entry &entry) { return entry.phase == phase; });
    return static_cast<std::uint32_t>(matches);
}

ConnectionPool::Entry *ConnectionPool::newestIdle() noexcept
{
    Entry *newest = nullptr;
    for (auto &entry : entries_) {
        if (entry.phase == Phase::Idle && (newest == nullptr || entry.since > newest->since)) {
            newest = &entry;
        }
    }
    return newest;
}

ConnectionPool::Entry *ConnectionPool::oldestIdle() noexcept
{
    Entry *oldest = nullptr;
    for (auto &entry : entries_) {
        if (entry.phase == Phase::Idle && (oldest == nullptr || entry.since < oldest->since)) {
            oldest = &entry;
        }
    }
    return oldest;
}

} // namespace cardamomstep
