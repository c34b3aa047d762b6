// A session that is forwarded to another proxy: connects, forwards the caller's lines and reports the answers.
#pragma once

#include "evloop/lineconnection.h"
#include "gateway/forwardtarget.h"
#include "relay/forwardedsession.h"
#include "relay/wire.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace cardamomstep::gateway {

/// One session at another proxy; \a Listener is told what happens to it, until abort():
///
/// - `onUpstreamLine(line)`: a line of an answer, to be returned to the caller unchanged.
/// - `onUpstreamAccepted()`: the other proxy accepted the session; `onUpstreamAnswered` follows.
/// - `onUpstreamAnswered(state)`: an answer is complete.
/// - `nextTarget(failed, refused)`: the proxy refused the session, or is unreachable; returns the next one to try, or nothing.
/// - `onNoUpstream()`: no proxy accepted the session.
/// - `onUpstreamLost()`: it closed the connection of an accepted session, or did not reply in time.
template<relay::WireCodec Wire, typename Listener>
class UpstreamSession : public std::enable_shared_from_this<UpstreamSession<Wire, Listener>>
{
public:
    UpstreamSession(boost::asio::io_context &loop,
                    ForwardTarget target,
                    relay::ForwardedSession session,
                    std::shared_ptr<Listener> listener)
        : loop_(loop)
        , timer_(loop)
        , target_(std::move(target))
        , session_(std::move(session))
        , listener_(std::move(listener))
    {
    }

    /// Connects, and opens the session with the caller's first line.
    void start(std::string line)
    {
        startLine_ = std::move(line);
        connect();
    }

    /// Forwards a line with \a statement.
    void forward(std::string_view line, const relay::SessionStatement &statement)
    {
        session_.onStatement(statement);
        send(line);
    }

    void abort()
    {
        listener_.reset();
        disconnect();
    }

    [[nodiscard]] bool connected() const noexcept
    {
        return connection_ != nullptr;
    }

    [[nodiscard]] const Address &proxy() const noexcept
    {
        return target_.proxy;
    }

    /// The state of the session as derived from the forwarded lines.
    [[nodiscard]] relay::ForwardedSession &session() noexcept
    {
        return session_;
    }

private:
    /// Timeout for connecting to another proxy.
    static constexpr Milliseconds connectTimeout{300};
    /// Time allowed for the reply of the proxy that serves a session, beyond the statement's own timeout.
    static constexpr Milliseconds replyMargin{150};

    /// Number of proxies that a new session is forwarded to before it counts as not accepted; each may take `connectTimeout`.
    static constexpr std::uint32_t maxTargets = 2;

    void connect()
    {
        evloop::connect(
            loop_, target_.proxy, connectTimeout, [self = this->shared_from_this()](auto socket) { self->onConnected(std::move(socket)); });
    }

    void disconnect()
    {
        timer_.cancel();
        if (connection_) {
            std::exchange(connection_, nullptr)->abort();
        }
    }

    /// Starts forwarding over \a socket, which is null if the other proxy could not be reached.
    void onConnected(std::unique_ptr<boost::asio::ip::tcp::socket> socket)
    {
        if (!listener_) {
            return;
        }
        if (!socket) {
            onLost();
            return;
        }
        connection_ = std::make_shared<evloop::LineConnection>(std::move(*socket), evloop::LineLimits{Wire::maxMessage});
        connection_->start([self = this->shared_from_this()](std::string_view answer) { self->onLine(answer); },
                           [self = this->shared_from_this()](evloop::CloseReason) { self->onLost(); });
        send(startLine_);
    }

    void send(std::string_view line)
    {
        connection_->send(std::string(line) + "\r\n");
        timer_.expires_after(target_.statementTimeout + replyMargin);
        timer_.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->connection_) {
                self->onLost();
            }
        });
    }

    void onLine(std::string_view line)
    {
        // The listener may abort this session.
        const auto self = this->shared_from_this();
        const auto listener = listener_;
        if (!listener) {
            return;
        }
        const auto message = Wire::parseMember(line);
        const auto *ready = std::get_if<relay::MemberReady>(&message);
        if (!accepted_ && ready == nullptr) {
            // The other proxy's configuration may be older than this one's, or it is shutting down.
            onNotAccepted(true);
            return;
        }
        listener->onUpstreamLine(line);
        if (ready == nullptr) {
            replySucceeded_ = std::holds_alternative<relay::MemberSuccess>(message);
            session_.onPartialAnswer();
            return;
        }
        timer_.cancel();
        if (std::exchange(accepted_, true)) {
            session_.onAnswer(std::exchange(replySucceeded_, false), ready->state, ready->position);
        } else {
            startLine_.clear();
            listener->onUpstreamAccepted();
        }
        listener->onUpstreamAnswered(ready->state);
    }

    void onLost()
    {
        const auto self = this->shared_from_this();
        const auto listener = listener_;
        if (listener && accepted_) {
            listener->onUpstreamLost();
        } else if (listener) {
            onNotAccepted(false);
        }
    }

    void onNotAccepted(bool refused)
    {
        disconnect();
        const auto listener = listener_;
        const auto failed = target_.proxy;
        ++targetsTried_;
        const auto next = listener->nextTarget(failed, refused);
        if (!next || next->proxy == failed || targetsTried_ >= maxTargets) {
            listener->onNoUpstream();
            return;
        }
        target_ = *next;
        connect();
    }

    boost::asio::io_context &loop_;
    boost::asio::steady_timer timer_;
    ForwardTarget target_;
    relay::ForwardedSession session_;
    /// Null after abort().
    std::shared_ptr<Listener> listener_;
    /// Null until the other proxy is connected.
    std::shared_ptr<evloop::LineConnection> connection_;
    /// The caller's first line, until a proxy has accepted the session.
    std::string startLine_;
    std::uint32_t targetsTried_ = 0;
    /// The other proxy accepted the session.
    bool accepted_ = false;
    /// The reply to the forwarded line reported success so far.
    bool replySucceeded_ = false;
};

} // namespace cardamomstep::gateway
