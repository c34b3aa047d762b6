// The calling side of the link between proxies.
#pragma once

#include "base/result.h"
#include "peer/messages.h"
#include "statements/statement.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cardamomstep::peer {

/// Certificates for the link between proxies; plain TCP when all are empty.
struct Credentials {
    std::string certificateFile;
    std::string keyFile;
    std::string caFile;
};

/// Why a peer gave no answer.
struct Failure {
    /// True when the request did not reach the peer.
    bool notSent = false;
    /// True when the peer's address refuses connections.
    bool refused = false;
    std::string description;
};

/// An answer of type \a T or the failure of the link.
template<typename T>
using PeerResult = std::variant<T, Failure>;

/// Calls other proxies by address; safe for use by many threads.
///
/// Channels are kept and shared by all calls to one address.
class Client
{
public:
    explicit Client(const Credentials &credentials);
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;
    ~Client();

    /// Runs \a statement at the peer; \a remaining is the time left, of which \a connectWithin may go into connecting.
    [[nodiscard]] PeerResult<Answer>
    execute(const Address &peer, const Statement &statement, Microseconds remaining, Milliseconds connectTimeout);

    /// Sends a probe.
    [[nodiscard]] PeerResult<Ping> ping(const Address &peer, const Ping &ping, Milliseconds timeout);

    /// Asks for all news of the fleet.
    [[nodiscard]] PeerResult<std::vector<SharedUpdate>> snapshot(const Address &peer, Milliseconds timeout);

    /// Compares the configuration.
    [[nodiscard]] PeerResult<GossipMessage> gossip(const Address &peer, const GossipMessage &message, Milliseconds timeout);

    /// Tells and asks about a group's primary.
    [[nodiscard]] PeerResult<GroupObservation>
    exchangeObservations(const Address &peer, const GroupObservation &observation, Milliseconds timeout);

    /// Drops the channel to \a peer, for one that went away for good.
    void forget(const Address &peer);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep::peer
