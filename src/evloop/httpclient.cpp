// Runs exchanges one at a time on a keep-alive connection.
#include "evloop/httpclient.h"

#include "evloop/clock.h"
#include "evloop/lineconnection.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace cardamomstep::evloop {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

/// Maximum size of a response body.
constexpr std::uint64_t maxResponseBytes = std::uint64_t{8} << 20U;
/// Time for which sent data may stay unacknowledged, and idle time before TCP keep-alive probes: a watch may wait long without receiving
/// a byte, but a lost connection must be detected within seconds.
constexpr Milliseconds peerTimeout{3000};
constexpr Seconds keepAliveIdle{1};
/// A response stalls when no bytes arrive for this time.
constexpr Milliseconds responseStallTimeout{1000};

} // namespace

struct HttpClient::Exchange {
    explicit Exchange(asio::io_context &loop)
        : timer(loop)
    {
        parser.body_limit(maxResponseBytes);
        parser.eager(true);
    }

    Pending pending;
    asio::steady_timer timer;
    beast::http::request<beast::http::string_body> request;
    beast::http::response_parser<beast::http::string_body> parser;
    beast::flat_buffer buffer;
    ResponseProgress progress;
    /// Sending has begun, so the server may execute the call.
    bool sent = false;
    bool finished = false;
};

HttpClient::HttpClient(asio::io_context &loop, Address server, std::string reportedHeader)
    : loop_(loop)
    , server_(std::move(server))
    , reportedHeader_(std::move(reportedHeader))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::call(HttpCall call, Milliseconds timeout, Handler done)
{
    queue_.push_back(Pending{std::move(call), timeout, std::move(done)});
    if (!busy_) {
        startNext();
    }
}

void HttpClient::startNext()
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
    setTimeout(exchange, exchange->pending.timeout);
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

/// Ends the exchange after \a timeout, unless its response is arriving then.
void HttpClient::setTimeout(const std::shared_ptr<Exchange> &exchange, Microseconds timeout)
{
    exchange->timer.expires_after(timeout);
    exchange->timer.async_wait([self = shared_from_this(), exchange](const error_code &error) {
        if (error || exchange->finished) {
            return;
        }
        const auto quietFor = bootTimeNow() - exchange->progress.lastBytesAt;
        if (quietFor < responseStallTimeout) {
            self->setTimeout(exchange, responseStallTimeout - quietFor);
            return;
        }
        const auto kind = exchange->sent ? ErrorKind::StoreOutcomeUnknown : ErrorKind::StoreUnavailable;
        self->finish(exchange, Error{kind, "no reply within " + std::to_string(exchange->pending.timeout.count()) + " ms"}, false);
    });
}

void HttpClient::abandon()
{
    if (const auto exchange = current_.lock(); exchange && busy_) {
        finish(exchange, Error{ErrorKind::StoreOutcomeUnknown, "abandoned for a newer call"}, false);
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
            self->finish(exchange, Error{ErrorKind::StoreOutcomeUnknown, "the connection was lost: " + error.message()}, false);
            return;
        }
        self->read(exchange);
    });
}

/// Reads the response piece by piece, to record its progress.
void HttpClient::read(const std::shared_ptr<Exchange> &exchange)
{
    const auto self = shared_from_this();
    beast::http::async_read_some(
        *socket_, exchange->buffer, exchange->parser, [self, exchange](const error_code &error, std::size_t bytes) {
            if (exchange->finished) {
                return;
            }
            if (error) {
                self->finish(exchange, Error{ErrorKind::StoreOutcomeUnknown, "incomplete reply: " + error.message()}, false);
                return;
            }
            exchange->progress.bytes += bytes;
            exchange->progress.lastBytesAt = bootTimeNow();
            if (exchange->parser.is_done()) {
                self->onResponse(exchange);
            } else {
                self->read(exchange);
            }
        });
}

void HttpClient::onResponse(const std::shared_ptr<Exchange> &exchange)
{
    auto &message = exchange->parser.get();
    const bool keepAlive = message.keep_alive();
    HttpResponse response{static_cast<int>(message.result_int()), std::move(message.body()), {}};
    if (!reportedHeader_.empty()) {
        response.reportedHeader = std::string(message[reportedHeader_]);
    }
    finish(exchange, std::move(response), keepAlive);
}

ResponseProgress HttpClient::progress() const
{
    const auto exchange = current_.lock();
    return exchange && busy_ ? exchange->progress : ResponseProgress{};
}

void HttpClient::finish(const std::shared_ptr<Exchange> &exchange, Result<HttpResponse> result, bool keepAlive)
{
    if (std::exchange(exchange->finished, true)) {
        return;
    }
    exchange->timer.cancel();
    if (!keepAlive && socket_) {
        error_code ignored; // The connection is discarded in either case.
        socket_->close(ignored);
        // Queued handlers of the exchange may still use the socket, so it is destroyed in a later loop iteration.
        asio::post(loop_, [old = std::shared_ptr<asio::ip::tcp::socket>(std::move(socket_)), exchange] {});
        socket_.reset();
    }
    busy_ = false;
    const auto self = shared_from_this();
    exchange->pending.done(std::move(result));
    if (!busy_) {
        startNext();
    }
}

} // namespace cardamomstep::evloop
