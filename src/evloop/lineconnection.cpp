// Reads lines, writes in batches, and connects with a timeout.
#include "evloop/lineconnection.h"

#include "http/address.h"

#include <netinet/tcp.h>
#include <utility>

namespace cardamomstep::evloop {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Ends each line. A line feed or a carriage return alone is part of the line.
constexpr std::string_view lineTerminator = "\r\n";

/// Delivered input is erased once it is larger than this.
constexpr std::size_t compactBytes = 16'384;

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

/// Time between two keep-alive probes, and the number of probes without a reply after which the peer counts as unreachable.
constexpr int keepIntervalSeconds = 1;
constexpr int keepCount = 2;

} // namespace

LineConnection::LineConnection(tcp::socket socket, const LineLimits &limits)
    : socket_(std::move(socket))
    , limits_(limits)
{
    setPeerTimeouts(socket_, limits_.peerTimeout, limits_.keepAliveIdle);
}

void LineConnection::start(LineHandler onLine, CloseHandler onClose)
{
    onLine_ = std::move(onLine);
    onClose_ = std::move(onClose);
    read();
}

void LineConnection::read()
{
    if (reading_ || closed_) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](const error_code &error, std::size_t count) {
        self->reading_ = false;
        if (error) {
            self->reportClose(CloseReason::Closed);
            return;
        }
        self->onReceived(count);
    });
}

void LineConnection::onReceived(std::size_t count)
{
    if (closed_) {
        return;
    }
    input_.append(chunk_.data(), count);
    deliverLines();
    if (!closed_ && input_.size() - consumed_ <= limits_.maxLineBytes) {
        read();
    } else if (!paused_) {
        reportClose(CloseReason::TooLong);
    }
}

void LineConnection::deliverLines()
{
    if (deliveringLines_) {
        return;
    }
    const auto self = shared_from_this();
    deliveringLines_ = true;
    while (!paused_ && !closed_ && !closing_) {
        const auto lineEnd = input_.find(lineTerminator, std::max(consumed_, scanned_));
        if (lineEnd == std::string::npos) {
            // The last byte may be the first half of a terminator.
            scanned_ = std::max(input_.size(), std::size_t{1}) - 1;
            break;
        }
        const auto line = std::string_view(input_).substr(consumed_, lineEnd - consumed_);
        consumed_ = lineEnd + lineTerminator.size();
        onLine_(line);
    }
    deliveringLines_ = false;
    if (consumed_ == input_.size() || consumed_ > compactBytes) {
        input_.erase(0, consumed_);
        scanned_ = scanned_ > consumed_ ? scanned_ - consumed_ : 0;
        consumed_ = 0;
    }
    if (input_.empty() && input_.capacity() > compactBytes) {
        input_.shrink_to_fit();
    }
}

void LineConnection::resume()
{
    paused_ = false;
    if (deliveringLines_) {
        return;
    }
    deliverLines();
    read();
}

void LineConnection::send(std::string_view bytes)
{
    if (closed_) {
        return;
    }
    queued_ += bytes;
    if (queued_.size() > limits_.maxUnsentBytes) {
        reportClose(CloseReason::NotReading);
        return;
    }
    if (writing_ || flushPosted_) {
        return;
    }
    flushPosted_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->flushPosted_ = false;
        self->flush();
    });
}

void LineConnection::flush()
{
    if (closed_ || writing_) {
        return;
    }
    if (queued_.empty()) {
        if (closing_) {
            abort();
        }
        return;
    }
    writing_ = true;
    sending_.swap(queued_);
    queued_.clear();
    asio::async_write(socket_, asio::buffer(sending_), [self = shared_from_this()](const error_code &error, std::size_t) {
        self->writing_ = false;
        self->sending_.clear();
        if (error) {
            self->reportClose(CloseReason::Closed);
            return;
        }
        self->flush();
    });
}

void LineConnection::closeWhenSent()
{
    closing_ = true;
    if (!writing_ && !flushPosted_) {
        flush();
    }
}

void LineConnection::abort()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    error_code ignored; // The connection is closed in either case.
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    // The handlers may own the caller of this function, so they are released in a later loop iteration.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->onLine_ = nullptr;
        self->onClose_ = nullptr;
    });
}

void LineConnection::reportClose(CloseReason reason)
{
    if (closed_) {
        return;
    }
    const auto handler = onClose_;
    if (reason == CloseReason::Closed) {
        abort();
    }
    if (handler && !std::exchange(closeReported_, true)) {
        handler(reason);
    }
}

void setPeerTimeouts(tcp::socket &socket, Milliseconds peerTimeout, Seconds keepAliveIdle)
{
    error_code ignored; // A rejected option only delays the detection of a lost peer.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(UserTimeout(static_cast<int>(peerTimeout.count())), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(static_cast<int>(keepAliveIdle.count())), ignored);
    socket.set_option(KeepInterval(keepIntervalSeconds), ignored);
    socket.set_option(KeepCount(keepCount), ignored);
}

void connect(asio::io_context &loop, const Address &address, Milliseconds timeout, std::function<void(std::unique_ptr<tcp::socket>)> done)
{
    struct Attempt {
        explicit Attempt(asio::io_context &context)
            : socket(std::make_unique<tcp::socket>(context))
            , timer(context)
        {
        }
        std::unique_ptr<tcp::socket> socket;
        asio::steady_timer timer;
        bool finished = false;
    };
    const auto ipPort = http::parseAddress(address);
    error_code failure;
    const auto ip = ipPort ? asio::ip::make_address_v4(ipPort->ip, failure) : asio::ip::address_v4{};
    if (!ipPort || failure) {
        asio::post(loop, [done = std::move(done)] { done(nullptr); });
        return;
    }
    const auto attempt = std::make_shared<Attempt>(loop);
    const auto finish = [attempt, done = std::move(done)](bool connected) {
        if (std::exchange(attempt->finished, true)) {
            return;
        }
        attempt->timer.cancel();
        done(connected ? std::move(attempt->socket) : nullptr);
    };
    attempt->timer.expires_after(timeout);
    attempt->timer.async_wait([finish](const error_code &error) {
        if (!error) {
            finish(false);
        }
    });
    attempt->socket->async_connect(tcp::endpoint(ip, ipPort->port), [finish](const error_code &error) { finish(!error); });
}

} // namespace cardamomstep::evloop
