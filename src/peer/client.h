// The calling side of the link between proxies.
#pragma once

#include "base/result.h"
#include "peer/messages.h"
#include "statements/statement.h"

#include <memory>
#include <string>
#include <variant>

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
    execute(const Address &peer, const Statement &statement, Microseconds remaining, Milliseconds connectWithin);

    [[nodiscard]] PeerResult<Pong> ping(const Address &peer, const Ping &ping, Milliseconds timeout);
    [[nodiscard]] PeerResult<Digest> push(const Address &peer, const Objects &objects, Milliseconds timeout);
    [[nodiscard]] PeerResult<Objects> fetch(const Address &peer, const Digest &digest, Milliseconds timeout);
    [[nodiscard]] PeerResult<Sighting> sight(const Address &peer, const Sighting &sighting, Milliseconds timeout);

    /// Drops the channel to \a peer, for one that went away for good.
    void forget(const Address &peer);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep::peer
