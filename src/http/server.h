// An HTTP server: cxxtools' server behind a plain handler function, with bounded requests.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "http/message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace cardamomstep::http {

/// Limits of a server.
struct ServerOptions {
    /// Address to listen on, as "IP:port".
    Address listen;
    /// Largest request body in bytes; a larger one is answered with status 413.
    std::size_t maxBodyBytes = std::size_t{1} << 20U;
    /// Most requests that are handled at once.
    unsigned maxThreads = 200;
    /// How long an idle connection is kept open.
    Milliseconds keepAliveTimeout{30'000};
    /// Certificate and key file for TLS; plain TCP when empty.
    std::string certificateFile;
    std::string keyFile;
};

/// Handles one request; called on a thread of the server and allowed to block.
using Handler = std::function<Response(const Request &)>;

/// A running HTTP server.
///
/// The constructor listens; the destructor stops listening and waits for the requests in flight.
///
/// Example:
/// \code
/// auto server = Server::start({.listen = Address{"127.0.0.1:8080"}}, [](const Request &) { return Response{}; });
/// \endcode
class Server
{
public:
    /// Listens and begins to serve; the error is ErrorKind::Internal when the address cannot be bound.
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
