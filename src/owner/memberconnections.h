// The statement connections of this proxy to one member.
#pragma once

#include "base/result.h"
#include "connections/pool.h"
#include "connections/silence.h"
#include "members/httpconnection.h"
#include "owner/fwd.h"
#include "owner/waiter.h"

#include <map>
#include <memory>
#include <mutex>

namespace cardamomstep {

/// The connections to one member; a ConnectionPool decides which of them to open, reuse and close.
///
/// All functions must be called with the group's lock held.
class MemberConnections
{
public:
    /// A connection in use by one request.
    struct CheckedOutConnection {
        ConnectionKey key = 0;
        std::shared_ptr<HttpStatementConnection> connection;
    };

    MemberConnections(const Address &remote, const ConnectionIdentity &identity);

    /// Sets how many connections may be open at once.
    void setAllowed(std::uint32_t allowed, TimePoint now);

    /// Checks out a connection: reuses an idle one, opens one or waits for one until \a deadline. Releases \a lock while it blocks.
    [[nodiscard]] Result<CheckedOutConnection> acquire(std::unique_lock<std::mutex> &lock, TimePoint deadline);

    /// Releases a connection after a complete exchange; closes it if the exchange broke it.
    void release(const CheckedOutConnection &checkout, TimePoint now);

    /// Closes a connection, whatever state it is in.
    void close(ConnectionKey key);

    /// Closes connections whose idle timeout has passed.
    void closeIdle(TimePoint now);

    /// Returns the longest wait for a reply before the connection counts as silent.
    [[nodiscard]] Milliseconds replyTimeout() const noexcept;

    /// Records the start of an exchange.
    void onExchangeStarted(ConnectionKey key, TimePoint now);

    /// Records the complete reply of an exchange.
    void onReply(ConnectionKey key, TimePoint now);

    /// Returns the number of connections that are in use or being opened.
    [[nodiscard]] std::uint32_t inUse() const noexcept;

    /// Returns true while a request waits for a connection.
    [[nodiscard]] bool hasWaiters() const noexcept
    {
        return !waiting_.empty();
    }

    [[nodiscard]] std::uint32_t allowed() const noexcept
    {
        return pool_.allowed();
    }

    [[nodiscard]] std::uint32_t open() const noexcept
    {
        return pool_.open();
    }

private:
    [[nodiscard]] Result<CheckedOutConnection> openNew(std::unique_lock<std::mutex> &lock, ConnectionKey key, TimePoint deadline);

    Address remote_;
    ConnectionIdentity identity_;
    ConnectionPool pool_;
    SilenceDetector silence_;
    /// All open connections; those that are still being opened are not in it.
    std::map<ConnectionKey, std::shared_ptr<HttpStatementConnection>> connections_;
    WaitList waiting_;
};

} // namespace cardamomstep
