// Accounting of one proxy's connections to one group member.
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

/// Use this idle connection; report release() or closed() afterwards.
struct ReuseConnection {
    ConnectionKey key = 0;

    [[nodiscard]] bool operator==(const ReuseConnection &) const = default;
};

/// Open a connection under this key, then report opened() or openFailed().
struct OpenConnection {
    ConnectionKey key = 0;

    [[nodiscard]] bool operator==(const OpenConnection &) const = default;
};

/// Call acquire() again when a connection is released or closed, or at `until`.
struct AwaitConnection {
    TimePoint until;

    [[nodiscard]] bool operator==(const AwaitConnection &) const = default;
};

/// No connection to the member is available before the deadline.
struct NoConnection {
    Error error;

    [[nodiscard]] bool operator==(const NoConnection &) const = default;
};

/// The result of a request for a connection.
using ConnectionStep = std::variant<ReuseConnection, OpenConnection, AwaitConnection, NoConnection>;

/// Settings of a connection pool.
struct PoolLimits {
    /// The maximum number of connections that are being opened at the same time.
    std::uint32_t maxOpening = 2;
    /// The expected time to open a connection.
    Milliseconds expectedOpenTime{12};
    /// Time after which an idle connection is closed, while more than `minIdle` are idle.
    Milliseconds idleTimeout{10'000};
    std::uint32_t minIdle = 1;
    /// Delay of the next open after the member refused a connection at its limit, and first delay after any other failed open.
    Milliseconds initialBackoff{100};
    /// Longest delay after repeated failures.
    Milliseconds maxBackoff{2'000};
};

/// Connections of this proxy to one member.
///
/// Invariant: busy + idle + opening connections never exceed the allowance, unless the allowance was lowered; then
/// idle ones are closed at once and busy ones when they are released.
class ConnectionPool
{
public:
    explicit ConnectionPool(const PoolLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Sets how many connections may be open; see ConnectionQuota::allowed(). Returns the idle connections to close.
    [[nodiscard]] std::vector<ConnectionKey> setAllowed(std::uint32_t allowed, TimePoint now);

    /// Requests a connection that must be available by \a deadline.
    [[nodiscard]] ConnectionStep acquire(TimePoint deadline, TimePoint now);

    /// Records that the connection is open; the request that opened it uses it.
    void opened(ConnectionKey key, TimePoint now);

    /// Records that the connection could not be opened; the next open is delayed.
    void openFailed(ConnectionKey key, ConnectionFault fault, TimePoint now);

    /// Releases a connection whose request ended cleanly. Returns true when it is kept, false when it must be closed now.
    [[nodiscard]] bool release(ConnectionKey key, TimePoint now);

    /// Removes a connection that was closed or broke, in any state.
    void closed(ConnectionKey key);

    /// Returns the idle connections to close. To be called at nextWake().
    [[nodiscard]] std::vector<ConnectionKey> wake(TimePoint now);

    /// The time at which the next idle connection is to be closed, if any.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

    /// The number of connections that are open or being opened.
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
        /// When the connection entered this phase.
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
    /// No connection is opened before this time.
    TimePoint nextOpenAt_;
    /// Failed opens since the last successful one.
    std::uint32_t failures_ = 0;
};

} // namespace cardamomstep
