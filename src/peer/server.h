// The serving side of the link between proxies.
#pragma once

#include "base/result.h"
#include "peer/client.h"
#include "peer/messages.h"
#include "statements/statement.h"

#include <functional>
#include <memory>
#include <vector>

namespace cardamomstep::peer {

/// What the server calls; each is called from many threads and may block.
struct Handlers {
    /// Runs a statement within the remaining time.
    std::function<Answer(const Statement &, Microseconds remaining)> execute;
    std::function<Ping(const Ping &)> ping;
    std::function<std::vector<SharedUpdate>()> snapshot;
    std::function<GossipMessage(const GossipMessage &)> gossip;
    std::function<GroupObservation(const GroupObservation &)> exchangeObservations;
};

/// Listens for other proxies.
///
/// The destructor lets the calls in flight finish within a short bound.
class Server
{
public:
    /// Listens on \a address; the error is ErrorKind::Internal when that fails.
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
