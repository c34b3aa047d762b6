// Client for calls between proxies.
#pragma once

#include "base/result.h"
#include "peer/messages.h"
#include "statements/statement.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cardamomstep::peer {

/// Paths of the PEM files for mutual TLS between proxies; plain TCP if all are empty.
struct Credentials {
    std::string certificateFile;
    std::string keyFile;
    std::string caFile;
};

/// Why a call to a peer failed.
struct Failure {
    /// True if the request was not sent, because there was no connection to the peer.
    bool notSent = false;
    /// True if the peer's address refuses connections: no process listens there. Found out for pings only, since it takes time.
    bool refused = false;
    std::string description;
};

/// A reply of type \a T, or why the call failed.
template<typename T>
using PeerResult = std::variant<T, Failure>;

/// Calls other proxies by address; safe for use by many threads.
///
/// All calls to one address share a channel, which stays open between calls.
class Client
{
public:
    explicit Client(const Credentials &credentials);
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;
    ~Client();

    /// Runs \a statement at the peer within \a remaining; waits for a connection for at most \a connectTimeout.
    [[nodiscard]] PeerResult<Answer>
    execute(const Address &peer, const Statement &statement, Microseconds remaining, Milliseconds connectTimeout);

    /// Sends a ping and returns the reply.
    [[nodiscard]] PeerResult<Ping> ping(const Address &peer, const Ping &ping, Milliseconds timeout);

    /// Fetches the latest update of every proxy that the peer knows.
    [[nodiscard]] PeerResult<std::vector<SharedUpdate>> snapshot(const Address &peer, Milliseconds timeout);

    /// Sends a gossip message about the configuration and returns the reply.
    [[nodiscard]] PeerResult<GossipMessage> gossip(const Address &peer, const GossipMessage &message, Milliseconds timeout);

    /// Sends an observation of a group's primary and returns the peer's, which is empty if the peer does not own the group.
    [[nodiscard]] PeerResult<GroupObservation>
    exchangeObservations(const Address &peer, const GroupObservation &observation, Milliseconds timeout);

    /// Drops the channel to \a peer, for a peer that does not return.
    void forget(const Address &peer);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep::peer
