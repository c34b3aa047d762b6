// The client connection, implemented on Boost.Beast: cxxtools' client resends a request when a keep-alive connection
// breaks, which would run a non-idempotent statement twice.
#include "http/connection.h"

#include "http/address.h"
#include "http/impl/urltext.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace cardamomstep::http {

namespace beast = boost::beast;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr unsigned httpVersion = 11;
constexpr std::uint64_t maxResponseBytes = std::uint64_t{16} << 20U;

beast::http::request<beast::http::string_body> toBeast(const Request &request, const Address &remote)
{
    auto target = impl::encodeUrl(request.path);
    if (!request.query.empty()) {
        target += "?" + impl::formatQuery(request.query);
    }
    beast::http::request<beast::http::string_body> message;
    message.method_string(request.method);
    message.target(target);
    message.version(httpVersion);
    message.set(beast::http::field::host, remote.text());
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

Response fromBeast(beast::http::response<beast::http::string_body> &message)
{
    Response response;
    response.status = static_cast<int>(message.result_int());
    for (const auto &field : message) {
        response.headers[impl::lowerCase(std::string_view(field.name_string().data(), field.name_string().size()))] =
            std::string(field.value());
    }
    response.body = std::move(message.body());
    return response;
}

} // namespace

struct Connection::Impl {
    explicit Impl(Address address)
        : remote(std::move(address))
        , stream(context)
    {
    }

    /// Runs the pending operation to completion; the stream's timeout bounds it.
    void run()
    {
        context.restart();
        context.run();
    }

    /// Reads the next piece of a response until \a parser has all of it; sets \a error.
    void readPieces(beast::http::response_parser<beast::http::string_body> &parser, Milliseconds stallTimeout, beast::error_code &error)
    {
        beast::http::async_read_some(stream, buffer, parser, [this, &parser, stallTimeout, &error](beast::error_code result, std::size_t) {
            error = result;
            if (!error && !parser.is_done()) {
                stream.expires_after(stallTimeout);
                readPieces(parser, stallTimeout, error);
            }
        });
    }

    void close() noexcept
    {
        beast::error_code ignored;
        stream.socket().close(ignored);
        buffer.clear();
        open = false;
    }

    Address remote;
    boost::asio::io_context context;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool open = false;
    /// Error of the last connect; distinguishes a refusal from a timeout.
    beast::error_code connectError;
};

Connection::Connection(Address remote)
    : impl_(std::make_unique<Impl>(std::move(remote)))
{
}

Connection::~Connection() = default;

Result<Success> Connection::connect(Milliseconds timeout)
{
    close();
    const auto endpoint = parseAddress(impl_->remote);
    if (!endpoint) {
        return Error{ErrorKind::EndpointUnreachable, endpoint.error().description};
    }
    beast::error_code error;
    const auto ip = boost::asio::ip::make_address(endpoint->ip, error);
    if (error) {
        return Error{ErrorKind::EndpointUnreachable, "not an IP address: " + endpoint->ip};
    }
    impl_->stream.expires_after(timeout);
    impl_->stream.async_connect(Tcp::endpoint(ip, endpoint->port), [&error](beast::error_code result) { error = result; });
    impl_->run();
    impl_->connectError = error;
    if (error) {
        close();
        return Error{ErrorKind::EndpointUnreachable, impl_->remote.text() + ": " + error.message()};
    }
    impl_->stream.socket().set_option(Tcp::no_delay(true), error);
    impl_->open = true;
    return Success{};
}

bool Connection::isOpen() const noexcept
{
    return impl_->open;
}

bool Connection::checkOpen() noexcept
{
    if (!impl_->open) {
        return false;
    }
    // An idle connection has nothing to read: an end of stream or unexpected bytes make it unusable.
    char byte = 0;
    const auto count = ::recv(impl_->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool idle = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (!idle) {
        close();
    }
    return impl_->open;
}

ExchangeResult Connection::exchange(const Request &request, Milliseconds timeout, std::optional<Milliseconds> stallTimeout)
{
    if (!checkOpen()) {
        const auto connected = connect(timeout);
        if (!connected) {
            const bool timedOut = impl_->connectError == beast::error::timeout;
            const bool refused = impl_->connectError == boost::asio::error::connection_refused;
            return {std::nullopt, {ExchangeStage::NotSent, timedOut, refused, connected.error().description}};
        }
    }
    auto message = toBeast(request, impl_->remote);
    beast::http::response_parser<beast::http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    parser.eager(true);
    beast::error_code error;
    impl_->stream.expires_after(timeout);
    beast::http::async_write(impl_->stream, message, [&](beast::error_code writeError, std::size_t) {
        error = writeError;
        if (writeError) {
            return;
        }
        if (stallTimeout) {
            impl_->readPieces(parser, *stallTimeout, error);
            return;
        }
        beast::http::async_read(impl_->stream, impl_->buffer, parser, [&](beast::error_code readError, std::size_t) { error = readError; });
    });
    impl_->run();
    if (error) {
        close();
        return {std::nullopt, {ExchangeStage::Sent, error == beast::error::timeout, false, impl_->remote.text() + ": " + error.message()}};
    }
    auto completeResponse = parser.release();
    const bool unexpectedBytes = impl_->buffer.size() > 0;
    if (!completeResponse.keep_alive() || unexpectedBytes) {
        close();
    }
    return {fromBeast(completeResponse), {}};
}

void Connection::close() noexcept
{
    impl_->close();
}

const Address &Connection::remote() const noexcept
{
    return impl_->remote;
}

} // namespace cardamomstep::http
