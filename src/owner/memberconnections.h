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

/// Connections to one member: the pool's decisions with the links that belong to them.
///
/// All functions are called with the group's lock held.
class MemberLinks
{
public:
    /// A connection in use by one request.
    struct Lease {
        ConnectionKey key = 0;
        std::shared_ptr<HttpStatementLink> link;
    };

    MemberLinks(const Address &remote, const LinkIdentity &identity);

    /// Sets how many connections may be open.
    void setAllowed(std::uint32_t allowed, TimePoint now);

    /// Takes a connection, opening or waiting for one until \a deadline; releases \a lock meanwhile.
    [[nodiscard]] Result<Lease> take(std::unique_lock<std::mutex> &lock, TimePoint deadline);

    /// Gives a connection back after a whole exchange, or closes it when the link broke.
    void giveBack(const Lease &lease, TimePoint now);

    /// Closes a connection, whatever state it is in.
    void close(ConnectionKey key);

    /// Closes connections that were idle for too long.
    void wake(TimePoint now);

    /// Longest time that an answer is waited for before the connection counts as silent.
    [[nodiscard]] Milliseconds answerTimeout() const noexcept;

    /// Notes the begin of an exchange.
    void began(ConnectionKey key, TimePoint now);

    /// Notes the whole answer to an exchange.
    void answered(ConnectionKey key, TimePoint now);

    /// Requests that use a connection now.
    [[nodiscard]] std::uint32_t inUse() const noexcept;

    /// True while a request waits for a connection.
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
    [[nodiscard]] Result<Lease> openNew(std::unique_lock<std::mutex> &lock, ConnectionKey key, TimePoint deadline);

    Address remote_;
    LinkIdentity identity_;
    ConnectionPool pool_;
    SilenceDetector silence_;
    /// Links of all open connections; opening ones have none yet.
    std::map<ConnectionKey, std::shared_ptr<HttpStatementLink>> links_;
    WaitList waiting_;
};

} // namespace cardamomstep
