// A small HTTP server with one thread per connection, so that state and faults can be bound to a connection.
#pragma once

#include "base/ids.h"
#include "faults.h"
#include "http/message.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace cardamomstep::standins {

/// Number of a TCP connection, from 1 in the order of acceptance.
using ConnectionNumber = std::uint64_t;

/// The reply of a request handler.
struct Reply {
    http::Response response;
    /// True for replies to statements and store changes, to which answer faults may be applied.
    bool allowsAnswerFaults = false;
    /// True if the request changed rows or objects.
    bool isChange = false;
};

/// Returns a reply with the JSON \a body.
[[nodiscard]] Reply jsonReply(int status, const nlohmann::json &body);

/// The sending instance and its failure domain, from the header `x-from`.
struct Sender {
    std::string name;
    std::string domain;
};

/// Parses the header `x-from: INSTANCE/FAILURE-DOMAIN`; missing parts are empty.
[[nodiscard]] Sender senderOf(const http::Request &request);

/// Handlers of a stand-in for requests and events of its server.
struct ServerHandlers {
    /// Handles a request, after network faults have been applied.
    std::function<Reply(ConnectionNumber, const http::Request &)> handle;
    /// Handles `/control/...` requests except `/control/faults` and `/control/state`, which the server handles itself.
    /// Faults are not applied to control requests.
    std::function<Reply(const http::Request &)> control;
    /// Adds the stand-in's own fields to the reply to `GET /control/state`.
    std::function<void(nlohmann::json &)> addState;
    /// Called once for each closed connection.
    std::function<void(ConnectionNumber)> closed;
    /// Called after each change of the faults.
    std::function<void()> faultsChanged;
    /// Returns whether the network delay applies to a request. Log pulls are excluded: replicas delay each entry themselves.
    std::function<bool(const http::Request &)> isDelayed;
};

/// Serves requests on one address, with faults applied, until the process ends.
class Server
{
public:
    /// \a handlers and \a faults must outlive the server.
    Server(const ServerHandlers &handlers, Faults &faults);

    /// Listens on \a address and serves requests; returns only if the address cannot be bound.
    void run(const Address &address);

    /// Counts one request of \a kind (method and first path segments) for `GET /control/state`.
    void countCall(const std::string &kind);

private:
    class Connection;

    [[nodiscard]] Reply control(const http::Request &request);
    [[nodiscard]] bool isSilent(ConnectionNumber number) const;

    const ServerHandlers &handlers_;
    Faults &faults_;
    std::atomic<ConnectionNumber> lastConnection_{0};
    /// Connections up to this number never reply again.
    std::atomic<ConnectionNumber> silentUpTo_{0};
    std::atomic<std::uint64_t> openConnections_{0};
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> calls_;
};

} // namespace cardamomstep::standins
