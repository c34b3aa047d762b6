// Server for calls between proxies.
#pragma once

#include "base/result.h"
#include "peer/client.h"
#include "peer/messages.h"
#include "statements/statement.h"

#include <functional>
#include <memory>
#include <vector>

namespace cardamomstep::peer {

/// Handlers of requests; each is called from many threads at once and may block.
struct Handlers {
    /// Runs a statement within the remaining time.
    std::function<Answer(const Statement &, Microseconds remaining)> execute;
    std::function<Ping(const Ping &)> ping;
    std::function<std::vector<SharedUpdate>()> snapshot;
    std::function<GossipMessage(const GossipMessage &)> gossip;
    std::function<GroupObservation(const GroupObservation &)> exchangeObservations;
};

/// Serves calls from other proxies.
///
/// The destructor gives calls in flight a short time to finish, then cancels them.
class Server
{
public:
    /// Starts to listen on \a address; the error is ErrorKind::Internal.
    [[nodiscard]] static Result<std::unique_ptr<Server>> start(const Address &address, const Credentials &credentials, Handlers handlers);

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

private:
    struct Impl;
    explicit Server(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep::peer
