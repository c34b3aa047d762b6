// Client for calls between session proxies, over gRPC, without blocking.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "fleet/messages.h"

#include <functional>
#include <memory>

namespace cardamomstep::fleet {

/// Calls other proxies. Each call invokes its `done` exactly once, on one of gRPC's threads; the error is ErrorKind::PeerUnreachable.
class FleetClient
{
public:
    FleetClient();
    ~FleetClient();
    FleetClient(const FleetClient &) = delete;
    FleetClient &operator=(const FleetClient &) = delete;

    /// Requests the primary table from \a proxy.
    void renew(const Address &proxy, const RenewRequest &request, Milliseconds timeout, std::function<void(Result<RenewReply>)> done);
    /// Sends a newer record of one group to \a proxy.
    void
    announce(const Address &proxy, const Announcement &announcement, Milliseconds timeout, std::function<void(Result<QuiesceReply>)> done);

    /// Requests tokens of a customer's rate limit from \a proxy.
    void borrow(const Address &proxy, const BorrowRequest &request, Milliseconds timeout, std::function<void(Result<BorrowReply>)> done);

    /// Drops the connection to \a proxy, which is unreachable or silent; the next call opens a new one.
    void forget(const Address &proxy);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep::fleet
