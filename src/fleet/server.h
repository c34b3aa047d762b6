// The called side of the link between session proxies, over gRPC.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "fleet/messages.h"

#include <functional>
#include <memory>

namespace cardamomstep::fleet {

/// What the server asks of the process; handlers run on gRPC's threads, so they hand over to the event loop.
struct FleetHandlers {
    std::function<void(RenewRequest request, std::function<void(RenewReply)> reply)> renew;
    std::function<void(Announcement announcement, std::function<void(QuiesceReply)> reply)> announce;
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

    /// Ends all calls; no handler runs afterwards.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep::fleet
