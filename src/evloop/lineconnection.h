// A TCP connection that carries lines, each ended by a carriage return and a line feed, which are read and written in batches.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "evloop/fwd.h"

#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cardamomstep::evloop {

/// Limits of a LineConnection.
struct LineLimits {
    /// Maximum length of a line in bytes, including its end.
    std::size_t maxLineBytes = std::size_t{1} << 20U;
    /// Maximum number of bytes queued for sending; above it, the peer counts as not reading.
    std::size_t maxUnsentBytes = std::size_t{4} << 20U;
    /// Time for which sent data may stay unacknowledged before the peer counts as unreachable.
    Milliseconds peerTimeout{5000};
    /// Idle time after which the peer is probed by TCP keep-alive.
    Seconds keepAliveIdle{5};
};

/// Why a connection was closed or has to be closed.
enum class CloseReason : std::uint8_t {
    Closed, ///< The peer closed the connection, or it broke.
    TooLong, ///< A line exceeded the limit.
    NotReading, ///< The peer does not read the data sent to it.
};

/// One connection; it keeps itself alive until it is closed.
///
/// Invariant: no line is delivered after closeWhenSent(), and no handler is called after abort().
class LineConnection : public std::enable_shared_from_this<LineConnection>
{
public:
    using LineHandler = std::function<void(std::string_view line)>;
    using CloseHandler = std::function<void(CloseReason reason)>;

    LineConnection(boost::asio::ip::tcp::socket socket, const LineLimits &limits);

    /// Starts to read; \a onLine gets each line without its end.
    ///
    /// \a onClose is called once, when the peer closes the connection or it breaks, or when a limit is exceeded; in the latter case
    /// the connection stays open until the handler's owner closes it.
    void start(LineHandler onLine, CloseHandler onClose);

    /// Stops delivering lines until resume(); reading continues up to the line limit, so that a close by the peer is noticed.
    void pause() noexcept
    {
        paused_ = true;
    }
    void resume();

    /// Queues \a bytes; all bytes queued in one iteration of the loop are written in one call.
    void send(std::string_view bytes);

    /// Closes the connection once all queued bytes are written.
    void closeWhenSent();

    /// Closes the connection immediately; queued bytes are discarded.
    void abort();

    /// Returns true once the connection is closed: after closeWhenSent(), when all queued bytes are written.
    [[nodiscard]] bool isClosed() const noexcept
    {
        return closed_;
    }

private:
    void read();
    void onReceived(std::size_t count);
    void deliverLines();
    void flush();
    void reportClose(CloseReason reason);

    boost::asio::ip::tcp::socket socket_;
    LineLimits limits_;
    LineHandler onLine_;
    CloseHandler onClose_;
    std::array<char, 4096> chunk_{};
    std::string input_;
    /// Start of the first undelivered line in input_.
    std::size_t consumed_ = 0;
    /// End of the part of input_ after consumed_ in which no line terminator starts.
    std::size_t scanned_ = 0;
    std::string queued_;
    std::string sending_;
    bool flushPosted_ = false;
    bool writing_ = false;
    bool paused_ = false;
    bool deliveringLines_ = false;
    bool reading_ = false;
    bool closing_ = false;
    bool closed_ = false;
    bool closeReported_ = false;
};

/// Sets the options of \a socket that detect an unreachable peer within seconds, also while nothing is sent; disables Nagle's algorithm.
void setPeerTimeouts(boost::asio::ip::tcp::socket &socket, Milliseconds peerTimeout, Seconds keepAliveIdle);

/// Connects to \a address within \a timeout; \a done gets the socket, or null on failure.
void connect(boost::asio::io_context &loop,
             const Address &address,
             Milliseconds timeout,
             std::function<void(std::unique_ptr<boost::asio::ip::tcp::socket>)> done);

} // namespace cardamomstep::evloop
