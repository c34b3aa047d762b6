// One exchange after the other on a kept connection.
#include "evloop/httpclient.h"

#include "evloop/lineconnection.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace cardamomstep::evloop {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

/// Largest answer that is read.
constexpr std::uint64_t maxAnswerBytes = std::uint64_t{8} << 20U;
/// A watch waits long without a byte; a connection that went silent must still show within seconds.
constexpr Milliseconds peerTimeout{3000};
constexpr Seconds keepAliveIdle{1};

} // namespace

struct HttpClient::Exchange {
    explicit Exchange(asio::io_context &loop)
        : timer(loop)
    {
        parser.body_limit(maxAnswerBytes);
    }

    Pending pending;
    asio::steady_timer timer;
    beast::http::request<beast::http::string_body> request;
    beast::http::response_parser<beast::http::string_body> parser;
    beast::flat_buffer buffer;
    bool sent = false;
    bool finished = false;
};

HttpClient::HttpClient(asio::io_context &loop, Address server)
    : loop_(loop)
    , server_(std::move(server))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::call(HttpCall call, Milliseconds timeout, Handler done)
{
    queue_.push_back(Pending{std::move(call), timeout, std::move(done)});
    if (!busy_) {
        next();
    }
}

void HttpClient::next()
{
    if (queue_.empty()) {
        return;
    }
    busy_ = true;
    const auto exchange = std::make_shared<Exchange>(loop_);
    current_ = exchange;
    exchange->pending = std::move(queue_.front());
    queue_.pop_front();
    const auto &call = exchange->pending.call;
    exchange->request = {beast::http::string_to_verb(call.method), call.target, 11};
    exchange->request.set(beast::http::field::host, server_.text());
    for (const auto &[name, value] : call.headers) {
        exchange->request.set(name, value);
    }
    if (!call.body.empty()) {
        exchange->request.set(beast::http::field::content_type, "application/json");
        exchange->request.body() = call.body;
    }
    exchange->request.prepare_payload();
    const auto self = shared_from_this();
    exchange->timer.expires_after(exchange->pending.timeout);
    exchange->timer.async_wait([self, exchange](const error_code &error) {
        if (!error) {
            const auto kind = exchange->sent ? ErrorKind::StoreOutcomeUnknown : ErrorKind::StoreUnavailable;
            self->finish(exchange, Error{kind, "no answer within " + std::to_string(exchange->pending.timeout.count()) + " ms"}, false);
        }
    });
    if (socket_) {
        write(exchange);
        return;
    }
    connect(loop_, server_, exchange->pending.timeout, [self, exchange](std::unique_ptr<asio::ip::tcp::socket> socket) {
        if (exchange->finished) {
            return;
        }
        if (!socket) {
            self->finish(exchange, Error{ErrorKind::StoreUnavailable, "cannot connect to " + self->server_.text()}, false);
            return;
        }
        setPeerTimeouts(*socket, peerTimeout, keepAliveIdle);
        self->socket_ = std::move(socket);
        self->write(exchange);
    });
}

void HttpClient::abandon()
{
    if (const auto exchange = current_.lock(); exchange && busy_) {
        finish(exchange, Error{ErrorKind::StoreOutcomeUnknown, "given up for a newer call"}, false);
    }
}

void HttpClient::write(const std::shared_ptr<Exchange> &exchange)
{
    const auto self = shared_from_this();
    exchange->sent = true;
    beast::http::async_write(*socket_, exchange->request, [self, exchange](const error_code &error, std::size_t) {
        if (exchange->finished) {
            return;
        }
        if (error) {
            self->finish(exchange, Error{ErrorKind::StoreOutcomeUnknown, "the connection broke: " + error.message()}, false);
            return;
        }
        beast::http::async_read(
            *self->socket_, exchange->buffer, exchange->parser, [self, exchange](const error_code &readError, std::size_t) {
                if (exchange->finished) {
                    return;
                }
                if (readError) {
                    self->finish(exchange, Error{ErrorKind::StoreOutcomeUnknown, "no whole answer: " + readError.message()}, false);
                    return;
                }
                auto &message = exchange->parser.get();
                const bool keep = message.keep_alive();
                self->finish(exchange, HttpResponse{static_cast<int>(message.result_int()), std::move(message.body())}, keep);
            });
    });
}

void HttpClient::finish(const std::shared_ptr<Exchange> &exchange, Result<HttpResponse> result, bool keep)
{
    if (std::exchange(exchange->finished, true)) {
        return;
    }
    exchange->timer.cancel();
    if (!keep && socket_) {
        error_code ignored; // The connection is given up.
        socket_->close(ignored);
        // Handlers of the exchange may still be queued with the socket's address.
        asio::post(loop_, [old = std::shared_ptr<asio::ip::tcp::socket>(std::move(socket_)), exchange] {});
        socket_.reset();
    }
    busy_ = false;
    const auto self = shared_from_this();
    exchange->pending.done(std::move(result));
    if (!busy_) {
        next();
    }
}

} // namespace cardamomstep::evloop
