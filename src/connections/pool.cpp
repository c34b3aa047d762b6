// Accounting of one proxy's connections to one member.
#include "connections/pool.h"

#include <algorithm>

namespace cardamomstep {

namespace {

/// Doublings of the pause after which it grows no more.
constexpr std::uint32_t mostDoublings = 8;

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
    const TimePoint openedAt = std::max(now, pausedUntil_) + limits_.expectedOpenTime;
    const bool mayOpen = open() < allowed_ && opening() < limits_.maxOpening && now >= pausedUntil_;
    if (mayOpen && openedAt < deadline) {
        entries_.push_back(Entry{nextKey_, Phase::Opening, now});
        return OpenConnection{nextKey_++};
    }
    const bool someWillComeBack = !entries_.empty();
    if (now >= deadline || (!someWillComeBack && openedAt >= deadline)) {
        const auto wait = std::max(wholeMilliseconds(openedAt - now), limits_.expectedOpenTime);
        return NoConnection{Error{ErrorKind::EndpointUnreachable, "no connection to the member in time"}.withRetryAfter(wait)};
    }
    if (allowed_ == 0) {
        const Error error{ErrorKind::EndpointUnreachable, "this proxy has no share of the member's connections"};
        return NoConnection{Error{error}.withRetryAfter(limits_.pauseAfterRefusal)};
    }
    const TimePoint askAgain = now < pausedUntil_ ? pausedUntil_ : now + limits_.expectedOpenTime;
    return AwaitConnection{std::min(askAgain, deadline)};
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
    const auto doublings = fault == ConnectionFault::NoConnection ? 0U : std::min(failures_, mostDoublings);
    const auto pause = std::min(limits_.maxPause, limits_.pauseAfterRefusal * (1U << doublings));
    pausedUntil_ = std::max<TimePoint>(pausedUntil_, now + pause);
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
    const auto gone = std::remove_if(entries_.begin(), entries_.end(), [&](const Entry &entry) { return entry.key == key; });
    entries_.erase(gone, entries_.end());
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
    Entry *freshest = nullptr;
    for (auto &entry : entries_) {
        if (entry.phase == Phase::Idle && (freshest == nullptr || entry.since > freshest->since)) {
            freshest = &entry;
        }
    }
    return freshest;
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
