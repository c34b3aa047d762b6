// Server for calls between session proxies, over gRPC.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "fleet/messages.h"

#include <functional>
#include <memory>

namespace cardamomstep::fleet {

/// Handlers of requests. They are called on gRPC's threads, so they must post to the event loop; each must call `sendReply` exactly once.
struct FleetHandlers {
    std::function<void(RenewRequest request, std::function<void(RenewReply)> sendReply)> renew;
    std::function<void(Announcement announcement, std::function<void(QuiesceReply)> sendReply)> announce;
    std::function<void(BorrowRequest request, std::function<void(BorrowReply)> sendReply)> lend;
};

/// Serves other proxies.
class FleetServer
{
public:
    explicit FleetServer(FleetHandlers handlers);
    ~FleetServer();
    FleetServer(const FleetServer &) = delete;
    FleetServer &operator=(const FleetServer &) = delete;

    /// Listens on \a address; the error is ErrorKind::InvalidSettings.
    [[nodiscard]] Result<Success> listen(const Address &address);

    /// Cancels all calls and stops listening; no handler is called afterwards.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep::fleet
