// Serves one request at a time on each accepted connection.
#include "evloop/httpserver.h"

#include "http/address.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace cardamomstep::evloop {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

constexpr int backlog = 512;
/// Time without a request after which a connection is closed.
constexpr std::chrono::seconds idleTimeout{30};

/// One accepted connection; kept alive by its pending operations.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(asio::ip::tcp::socket socket, HttpServer::Handler handler)
        : stream_(std::move(socket))
        , handler_(std::move(handler))
    {
    }

    void read()
    {
        request_ = {};
        stream_.expires_after(idleTimeout);
        beast::http::async_read(stream_, buffer_, request_, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (!error) {
                self->respond();
            }
        });
    }

private:
    void respond()
    {
        const auto page = handler_(std::string(request_.target()));
        response_ = {};
        response_.version(request_.version());
        response_.result(static_cast<unsigned>(page.status));
        response_.keep_alive(request_.keep_alive());
        response_.set(beast::http::field::content_type, "text/plain");
        response_.body() = page.body;
        response_.prepare_payload();
        beast::http::async_write(stream_, response_, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (!error && self->response_.keep_alive()) {
                self->read();
            }
        });
    }

    beast::tcp_stream stream_;
    HttpServer::Handler handler_;
    beast::flat_buffer buffer_;
    beast::http::request<beast::http::string_body> request_;
    beast::http::response<beast::http::string_body> response_;
};

} // namespace

HttpServer::HttpServer(asio::io_context &loop, Handler handler)
    : acceptor_(loop)
    , handler_(std::move(handler))
{
}

Result<Success> HttpServer::listen(const Address &address)
{
    auto opened = openAcceptor(acceptor_, address);
    if (opened) {
        accept();
    }
    return opened;
}

void HttpServer::accept()
{
    acceptor_.async_accept([self = shared_from_this()](const error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<HttpSession>(std::move(socket), self->handler_)->read();
        }
        self->accept();
    });
}

void HttpServer::stop()
{
    error_code ignored; // Listening ends in either case.
    acceptor_.close(ignored);
}

Result<Success> openAcceptor(asio::ip::tcp::acceptor &acceptor, const Address &address)
{
    const auto ipPort = http::parseAddress(address);
    if (!ipPort) {
        return Error{ErrorKind::InvalidSettings, "expected IP:port, got " + address.text()};
    }
    error_code error;
    const auto ip = asio::ip::make_address_v4(ipPort->ip, error);
    if (!error) {
        const asio::ip::tcp::endpoint endpoint(ip, ipPort->port);
        acceptor.open(endpoint.protocol(), error);
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(backlog, error);
    }
    if (error) {
        return Error{ErrorKind::InvalidSettings, "cannot listen on " + address.text() + ": " + error.message()};
    }
    return Success{};
}

} // namespace cardamomstep::evloop
