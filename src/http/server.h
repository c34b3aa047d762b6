// An HTTP server with a handler function and limits on requests, based on cxxtools' server.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "http/message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace cardamomstep::http {

/// Options of a Server.
struct ServerOptions {
    /// Address to listen on.
    Address listen;
    /// Maximum size of a request body in bytes; a larger one is answered with status 413.
    std::size_t maxBodyBytes = std::size_t{1} << 20U;
    /// Maximum number of requests handled at once.
    unsigned maxThreads = 200;
    /// Time after which an idle connection is closed.
    Milliseconds keepAliveTimeout{30'000};
    /// Certificate and key file for TLS; plain TCP when empty.
    std::string certificateFile;
    std::string keyFile;
};

/// Handles one request; called on a server thread and may block.
using Handler = std::function<Response(const Request &)>;

/// A running HTTP server.
///
/// start() listens; the destructor stops listening and waits for the requests in flight.
///
/// Example:
/// \code
/// auto server = Server::start({.listen = Address{"127.0.0.1:8080"}}, [](const Request &) { return Response{}; });
/// \endcode
class Server
{
public:
    /// Listens and starts to serve requests.
    ///
    /// The error is ErrorKind::MalformedRequest if the address cannot be parsed, and ErrorKind::Internal if it cannot be bound.
    [[nodiscard]] static Result<std::unique_ptr<Server>> start(const ServerOptions &options, Handler handler);

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

private:
    struct Impl;
    explicit Server(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep::http
