// A TCP connection that carries lines, read and written in batches.
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

/// Bounds of a LineConnection.
struct LineLimits {
    /// Longest line in bytes, its end included.
    std::size_t maxLineBytes = std::size_t{1} << 20U;
    /// Bytes that may wait to be sent before the peer counts as not reading.
    std::size_t maxUnsentBytes = std::size_t{4} << 20U;
    /// Unacknowledged data for longer means that the peer is gone.
    Milliseconds peerTimeout{5000};
    /// Silence after which the peer's presence is probed.
    Seconds keepAliveIdle{5};
};

/// Why a connection ended.
enum class CloseReason : std::uint8_t {
    Closed, ///< By the peer, or broken.
    TooLong, ///< A line exceeded the limit.
    NotReading, ///< The peer does not read what it is sent.
};

/// One connection; it keeps itself alive until it is closed.
///
/// Invariant: no handler is called after close() or abort().
class LineConnection : public std::enable_shared_from_this<LineConnection>
{
public:
    using LineHandler = std::function<void(std::string_view line)>;
    using EndHandler = std::function<void(CloseReason reason)>;

    LineConnection(boost::asio::ip::tcp::socket socket, const LineLimits &limits);

    /// Begins to read; \a onLine gets each line without its end, \a onEnd at most one call.
    void start(LineHandler onLine, EndHandler onEnd);

    /// Holds back further lines until resume(); reading goes on up to the line limit, so an end is noticed.
    void pause() noexcept
    {
        paused_ = true;
    }
    void resume();

    /// Queues \a bytes; all that is queued in one turn of the loop leaves in one call.
    void send(std::string_view bytes);

    /// Closes once all that was queued has left.
    void closeWhenSent();

    /// Closes at once.
    void abort();

private:
    void read();
    void received(std::size_t count);
    void deliver();
    void flush();
    void end(CloseReason reason);

    boost::asio::ip::tcp::socket socket_;
    LineLimits limits_;
    LineHandler onLine_;
    EndHandler onEnd_;
    std::array<char, 4096> chunk_{};
    std::string input_;
    /// Start of the first line in input_ that was not delivered.
    std::size_t consumed_ = 0;
    /// Bytes of input_ that hold no line end after consumed_.
    std::size_t scanned_ = 0;
    std::string queued_;
    std::string sending_;
    bool flushPosted_ = false;
    bool writing_ = false;
    bool paused_ = false;
    bool delivering_ = false;
    bool reading_ = false;
    bool closing_ = false;
    bool closed_ = false;
};

/// Makes \a socket notice within seconds that its peer is gone, also while nothing is sent.
void setPeerTimeouts(boost::asio::ip::tcp::socket &socket, Milliseconds peerTimeout, Seconds keepAliveIdle);

/// Connects to \a address within \a timeout; \a done gets the socket, or nothing.
void connect(boost::asio::io_context &loop,
             const Address &address,
             Milliseconds timeout,
             std::function<void(std::unique_ptr<boost::asio::ip::tcp::socket>)> done);

} // namespace cardamomstep::evloop
