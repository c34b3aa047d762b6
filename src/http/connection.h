// One client connection that sends a request at most once and says how far it got.
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
    Sent, ///< Some bytes may have left; the other end may have acted on them.
};

/// Why an exchange has no response.
struct ExchangeFailure {
    ExchangeStage stage = ExchangeStage::NotSent;
    /// True when the time ran out; false when the connection was refused, reset or closed.
    bool timedOut = false;
    /// True when the other end refused the connection, which a live but slow process does not do.
    bool refused = false;
    std::string description;
};

/// Either a response or the reason why there is none.
struct ExchangeResult {
    std::optional<Response> response;
    ExchangeFailure failure;
};

/// A client's keep-alive connection.
///
/// It never resends: a broken keep-alive connection fails the exchange instead (a server may have acted on the
/// request before it closed). After a failure the connection is closed and can connect anew; no bytes of an abandoned exchange are
/// ever read by a later one.
/// Not safe for use by two threads at once.
class Connection
{
public:
    /// Prepares a connection to \a remote; nothing is sent yet.
    explicit Connection(Address remote);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /// Connects within \a timeout; the error is ErrorKind::EndpointUnreachable.
    [[nodiscard]] Result<Success> connect(Milliseconds timeout);

    /// True between a successful connect() and the first failure, close, or "Connection: close" from the server.
    [[nodiscard]] bool isOpen() const noexcept;

    /// Closes the connection when the other end has closed it meanwhile; returns isOpen().
    ///
    /// A request on such a connection would fail after its first byte had left, and nobody could tell whether it ran.
    bool checkOpen() noexcept;

    /// Sends \a request and waits for the whole response; connects first when not open or closed by the other end.
    [[nodiscard]] ExchangeResult exchange(const Request &request, Milliseconds timeout);

    /// Closes the connection.
    void close() noexcept;

    /// The other end.
    [[nodiscard]] const Address &remote() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep::http
