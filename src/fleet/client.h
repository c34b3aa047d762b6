// The calling side of the link between session proxies, over gRPC, without waiting.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "fleet/messages.h"

#include <functional>
#include <memory>

namespace cardamomstep::fleet {

/// Calls other proxies. Results arrive on gRPC's threads; each is told once, an error is ErrorKind::PeerUnreachable.
class FleetClient
{
public:
    FleetClient();
    ~FleetClient();
    FleetClient(const FleetClient &) = delete;
    FleetClient &operator=(const FleetClient &) = delete;

    void renew(const Address &proxy, const RenewRequest &request, Milliseconds timeout, std::function<void(Result<RenewReply>)> done);
    void
    announce(const Address &proxy, const Announcement &announcement, Milliseconds timeout, std::function<void(Result<QuiesceReply>)> done);

    /// Drops the connection to \a proxy, which is gone or silent; the next call makes a new one.
    void forget(const Address &proxy);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep::fleet
