// A small HTTP server with a thread for each connection, so that a test can bind state and faults to one connection.
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

/// Number of a TCP connection, counted from 1 in order of arrival.
using ConnectionNumber = std::uint64_t;

/// What a request's handler hands back.
struct Reply {
    http::Response response;
    /// True for answers to statements and to store changes, which answer faults may hit.
    bool allowsAnswerFaults = false;
    /// True when the request changed something.
    bool isChange = false;
};

/// A reply with the JSON \a body.
[[nodiscard]] Reply jsonReply(int status, const nlohmann::json &body);

/// The instance and failure domain that a request names in `x-from`.
struct Sender {
    std::string name;
    std::string domain;
};

/// Reads `x-from: INSTANCE/FAILURE-DOMAIN`; parts that are missing stay empty.
[[nodiscard]] Sender senderOf(const http::Request &request);

/// What a stand-in does with requests.
struct Service {
    /// Handles a request; faults of the network have already been applied.
    std::function<Reply(ConnectionNumber, const http::Request &)> handle;
    /// Handles `/control/...` apart from the faults, which the server takes itself; faults never touch it.
    std::function<Reply(const http::Request &)> control;
    /// Adds to the answer of `GET /control/state`.
    std::function<void(nlohmann::json &)> addState;
    /// Told once for each connection that has ended.
    std::function<void(ConnectionNumber)> closed;
    /// Told after each change of the faults.
    std::function<void()> faultsChanged;
    /// Adds the network's one-way time to this request; replication times its entries itself.
    std::function<bool(const http::Request &)> isDelayed;
};

/// Serves a Service with Faults on one address until the process ends.
class Server
{
public:
    /// Both references outlive the server.
    Server(const Service &service, Faults &faults);

    /// Listens on \a address and serves; returns only when the address cannot be bound.
    void run(const Address &address);

    /// Counts one call of \a kind for `GET /control/state`.
    void countCall(const std::string &kind);

private:
    class Connection;

    [[nodiscard]] Reply control(const http::Request &request);
    [[nodiscard]] bool isSilent(ConnectionNumber number) const;

    const Service &service_;
    Faults &faults_;
    std::atomic<ConnectionNumber> last_{0};
    /// Connections up to this one never answer again.
    std::atomic<ConnectionNumber> silentUpTo_{0};
    std::atomic<std::uint64_t> openConnections_{0};
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> calls_;
};

} // namespace cardamomstep::standins
