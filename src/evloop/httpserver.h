// A small HTTP/1.1 server for probes and metrics pages.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "evloop/fwd.h"

#include <utility>

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cardamomstep::evloop {

/// The response to a request for a page.
struct HttpPage {
    int status = 200;
    std::string body;
};

/// Serves pages; it keeps itself alive while it listens.
///
/// The handler answers every request, whatever its method.
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    /// Returns the page for a request's path (with its query).
    using Handler = std::function<HttpPage(const std::string &path)>;

    HttpServer(boost::asio::io_context &loop, Handler handler);

    /// Listens on \a address; the error is ErrorKind::InvalidSettings.
    [[nodiscard]] Result<Success> listen(const Address &address);

    /// Stops listening; open connections are still served.
    void stop();

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    Handler handler_;
};

/// Opens \a acceptor on \a address; the error is ErrorKind::InvalidSettings.
[[nodiscard]] Result<Success> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const Address &address);

} // namespace cardamomstep::evloop
