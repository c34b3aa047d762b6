// A client connection that sends each request at most once and reports how far a failed exchange got.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "http/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace cardamomstep::http {

/// How far an exchange got before it failed.
enum class ExchangeStage : std::uint8_t {
    NotSent, ///< No byte of the request left this process.
    Sent, ///< Some bytes may have left; the server may have processed the request.
};

/// Why an exchange has no response.
struct ExchangeFailure {
    ExchangeStage stage = ExchangeStage::NotSent;
    /// True if the timeout expired; false if the connection was refused, reset or closed.
    bool timedOut = false;
    /// True if the server's host refused the connection, which does not happen while the process is alive but slow.
    bool refused = false;
    std::string description;
};

/// A response, or the reason why there is none.
struct ExchangeResult {
    std::optional<Response> response;
    ExchangeFailure failure;
};

/// A client's keep-alive connection.
///
/// It never resends a request: if a keep-alive connection breaks, the exchange fails, because the server may have processed
/// the request before it closed. A failure closes the connection, which can then connect again; bytes of an abandoned exchange
/// are never read by a later one.
/// Not thread-safe.
class Connection
{
public:
    /// Prepares a connection to \a remote without connecting.
    explicit Connection(Address remote);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /// Connects within \a timeout; the error is ErrorKind::EndpointUnreachable.
    [[nodiscard]] Result<Success> connect(Milliseconds timeout);

    /// Returns true between a successful connect() and the first failure, close, or "Connection: close" from the server.
    [[nodiscard]] bool isOpen() const noexcept;

    /// Closes the connection if the server has closed it meanwhile; returns isOpen().
    ///
    /// A request on such a connection would fail after its first byte was sent, and its outcome would be unknown.
    bool checkOpen() noexcept;

    /// Sends \a request and waits for the complete response; connects first if the connection is not open or the server has closed it.
    ///
    /// \a timeout applies to the connect and to the exchange separately, so a call may take twice as long. With a \a stallTimeout, it
    /// bounds the time until the response begins, and from then on the time between two pieces of the response is bounded by
    /// \a stallTimeout: for responses whose size depends on the data.
    [[nodiscard]] ExchangeResult
    exchange(const Request &request, Milliseconds timeout, std::optional<Milliseconds> stallTimeout = std::nullopt);

    /// Closes the connection.
    void close() noexcept;

    /// Returns the server's address.
    [[nodiscard]] const Address &remote() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep::http
