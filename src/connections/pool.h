// The accounting of one proxy's connections to one group member.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "connections/fwd.h"
#include "connections/key.h"
#include "members/member.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace cardamomstep {

/// Use this idle connection; give it back with giveBack() or closed().
struct ReuseConnection {
    ConnectionKey key = 0;

    [[nodiscard]] bool operator==(const ReuseConnection &) const = default;
};

/// Open a connection under this key, then report opened() or openFailed().
struct OpenConnection {
    ConnectionKey key = 0;

    [[nodiscard]] bool operator==(const OpenConnection &) const = default;
};

/// Ask again when a connection is given back or closed, at the latest at `until`.
struct AwaitConnection {
    TimePoint until;

    [[nodiscard]] bool operator==(const AwaitConnection &) const = default;
};

/// The member cannot be reached in time.
struct NoConnection {
    Error error;

    [[nodiscard]] bool operator==(const NoConnection &) const = default;
};

/// How a request gets a connection.
using ConnectionStep = std::variant<ReuseConnection, OpenConnection, AwaitConnection, NoConnection>;

/// Settings of a connection pool.
struct PoolLimits {
    /// Connections that may be in the course of being opened.
    std::uint32_t maxOpening = 2;
    /// Time that opening a connection takes.
    Milliseconds expectedOpenTime{12};
    /// Idle connections beyond `keepIdle` are closed after this time.
    Milliseconds idleTimeout{10'000};
    std::uint32_t minIdle = 1;
    /// Pause after the member refused a connection at its limit, and first pause after a failed open.
    Milliseconds pauseAfterRefusal{100};
    /// Longest pause after repeated failures.
    Milliseconds maxPause{2'000};
};

/// Connections of this proxy to one member.
///
/// Invariant: busy + idle + opening connections never exceed the allowance, unless the allowance was lowered; then
/// idle ones are closed at once and busy ones as they come back.
class ConnectionPool
{
public:
    explicit ConnectionPool(const PoolLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Sets how many connections may be open; see ConnectionShare::allowed(). Returns connections to close.
    [[nodiscard]] std::vector<ConnectionKey> setAllowed(std::uint32_t allowed, TimePoint now);

    /// Asks for a connection for a request that must have it by \a deadline.
    [[nodiscard]] ConnectionStep acquire(TimePoint deadline, TimePoint now);

    /// The connection is open and in use by the request that opened it.
    void opened(ConnectionKey key, TimePoint now);

    /// The connection could not be opened.
    void openFailed(ConnectionKey key, ConnectionFault fault, TimePoint now);

    /// A request ended cleanly; true when the connection was kept, false when it must be closed now.
    [[nodiscard]] bool release(ConnectionKey key, TimePoint now);

    /// A connection was closed or broke, in whatever state it was.
    void closed(ConnectionKey key);

    /// Returns idle connections to close; to be called at nextWake().
    [[nodiscard]] std::vector<ConnectionKey> wake(TimePoint now);

    /// When an idle connection has been idle for too long.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

    /// Connections that are open or being opened.
    [[nodiscard]] std::uint32_t open() const noexcept
    {
        return static_cast<std::uint32_t>(entries_.size());
    }
    [[nodiscard]] std::uint32_t idle() const noexcept;
    [[nodiscard]] std::uint32_t opening() const noexcept;
    [[nodiscard]] std::uint32_t allowed() const noexcept
    {
        return allowed_;
    }

private:
    enum class Phase : std::uint8_t {
        Opening,
        Idle,
        Busy,
    };

    struct Entry {
        ConnectionKey key = 0;
        Phase phase = Phase::Opening;
        TimePoint since;
    };

    [[nodiscard]] Entry *find(ConnectionKey key) noexcept;
    [[nodiscard]] std::uint32_t count(Phase phase) const noexcept;
    [[nodiscard]] Entry *newestIdle() noexcept;
    [[nodiscard]] Entry *oldestIdle() noexcept;

    PoolLimits limits_;
    std::uint32_t allowed_ = 0;
    ConnectionKey nextKey_ = 1;
    std::vector<Entry> entries_;
    /// No open is tried before this time.
    TimePoint pausedUntil_;
    std::uint32_t failures_ = 0;
};

} // namespace cardamomstep
