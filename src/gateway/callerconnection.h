// One caller's connection: parses lines into statements and sends the answers.
#pragma once

#include "evloop/clock.h"
#include "evloop/lineconnection.h"
#include "gateway/callerconnectionhandlers.h"
#include "gateway/sessionactivity.h"
#include "gateway/upstreamsession.h"
#include "relay/wire.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cardamomstep::gateway {

/// One caller's connection; statements are reported one at a time, the next one after reply().
///
/// A session that another proxy serves is forwarded line by line; that proxy's lines are returned to the caller unchanged.
template<relay::WireCodec Wire>
class CallerConnection : public std::enable_shared_from_this<CallerConnection<Wire>>
{
public:
    CallerConnection(boost::asio::io_context &loop, boost::asio::ip::tcp::socket socket, CallerConnectionHandlers handlers)
        : loop_(loop)
        , timer_(loop)
        , deadlineTimer_(loop)
        , relocationTimer_(loop)
        , connection_(std::make_shared<evloop::LineConnection>(std::move(socket), evloop::LineLimits{Wire::maxMessage}))
        , handlers_(std::move(handlers))
    {
    }

    void start()
    {
        connection_->start([self = this->shared_from_this()](std::string_view line) { self->onLine(line); },
                           [self = this->shared_from_this()](evloop::CloseReason reason) { self->onClosed(reason); });
    }

    /// Sends the answer to the current statement.
    ///
    /// Ends the session if it is idle then and another proxy should serve it: the caller's next session is forwarded.
    void reply(const relay::CallerReply &reply)
    {
        sendReply(reply);
        activity_.onAnswered(reply.state, evloop::bootTimeNow());
        if (!endIfElsewhere()) {
            connection_->resume();
        }
    }

    /// Ends the session if another proxy should serve it after \a delay: then if it is idle, else after its next answer.
    ///
    /// \a departing is set for a session that another proxy forwarded here, if this process stopped serving its customer.
    void relocateAfter(Microseconds delay, bool departing = false)
    {
        departing_ = departing;
        if (std::exchange(relocationPending_, true)) {
            // Changes that follow each other quickly, as when many proxies start, must not postpone the end for ever.
            return;
        }
        startTimer(relocationTimer_, delay, &CallerConnection::onRelocationTimer);
    }

    /// True for a caller's own connection; false for a session that another proxy forwarded here.
    [[nodiscard]] bool mayForward() const noexcept
    {
        return handlers_.forward != nullptr;
    }

    [[nodiscard]] const customers::CallerIdentity &identity() const noexcept
    {
        return identity_;
    }

    /// Closes the connection once all queued output was sent; no handler is called any more.
    void close()
    {
        handlers_ = {};
        connection_->closeWhenSent();
        dropUpstream();
    }

    /// True once all output was sent and the connection is closed.
    [[nodiscard]] bool isClosed() const noexcept
    {
        return connection_->isClosed();
    }

    /// True while another proxy serves the session.
    [[nodiscard]] bool forwarded() const noexcept
    {
        return upstream_ != nullptr && upstream_->connected();
    }

    /// Makes the session end as soon as it is idle, if it is forwarded now or later.
    ///
    /// Returns true when it is forwarded and idle already; the session is not ended then, and close() has to be called. While its first
    /// statement, or the one after its setup, is expected, the session stays open for up to `SessionActivity::setupIdleTimeout`.
    [[nodiscard]] bool endWhenIdle()
    {
        endsWhenIdle_ = true;
        const bool isIdle = forwarded() && activity_.isIdle();
        if (isIdle && activity_.inSetup()) {
            startTimer(timer_, SessionActivity::setupIdleTimeout, &CallerConnection::finishUnlessReplyPending);
        }
        return isIdle && !activity_.inSetup();
    }

    /// Ends the session at \a deadline if it is forwarded then, also within a transaction; a statement in flight is answered first.
    void endBy(TimePoint deadline)
    {
        startTimer(deadlineTimer_, std::max(deadline - evloop::bootTimeNow(), Microseconds{0}), &CallerConnection::onDeadline);
    }

    /// Ends a forwarded session if its key was withdrawn; an answer in progress is delivered first. Returns true if it ends.
    ///
    /// The other proxy rolls an open transaction back, and the caller's next statement is refused.
    [[nodiscard]] bool endIfKeyWithdrawn();

private:
    using Upstream = UpstreamSession<Wire, CallerConnection>;
    friend Upstream;

    void onLine(std::string_view line)
    {
        const auto message = Wire::parseCaller(line);
        if (upstream_ && !ending_) {
            ending_ = identityFault();
        }
        if (ending_) {
            refuseWithdrawn(std::holds_alternative<relay::EndSession>(message));
            return;
        }
        if (upstream_) {
            forwardLine(line, message);
            return;
        }
        if (const auto *start = std::get_if<relay::StartSession>(&message)) {
            open(*start, std::string(line));
        } else if (const auto *statement = std::get_if<relay::SessionStatement>(&message); statement != nullptr && sessionStarted_) {
            connection_->pause();
            activity_.onStatement(statement);
            if (handlers_.statement) {
                handlers_.statement(*statement);
            }
        } else if (std::holds_alternative<relay::EndSession>(message)) {
            finish();
        } else {
            refuse(Error{ErrorKind::MalformedRequest, "the message is malformed or precedes the start of the session"});
        }
    }

    void open(const relay::StartSession &start, const std::string &line)
    {
        if (std::exchange(sessionStarted_, true)) {
            refuse(Error{ErrorKind::MalformedRequest, "the session is already open"});
            return;
        }
        database_ = start.database;
        const auto identity =
            handlers_.identify ? handlers_.identify(database_, start.key) : Result<customers::CallerIdentity>(customers::CallerIdentity{});
        if (!identity) {
            refuse(identity.error());
            return;
        }
        identity_ = *identity;
        const auto target = handlers_.forward ? handlers_.forward(database_, identity_) : std::nullopt;
        if (!target) {
            openLocally();
            return;
        }
        activity_.onLine();
        connection_->pause();
        upstream_ = std::make_shared<Upstream>(loop_, *target, relay::ForwardedSession(database_, identity_), this->shared_from_this());
        upstream_->start(line);
    }

    void openLocally()
    {
        const auto opened = handlers_.opened ? handlers_.opened(database_, identity_) : Result<Success>(Error{});
        if (!opened) {
            refuse(opened.error());
            return;
        }
        activity_.onOpened(evloop::bootTimeNow());
        std::string text;
        Wire::appendSessionReady(text);
        connection_->send(text);
    }

    void forwardLine(std::string_view line, const relay::CallerLine &message)
    {
        if (std::holds_alternative<relay::EndSession>(message)) {
            finish();
            return;
        }
        connection_->pause();
        const auto *statement = std::get_if<relay::SessionStatement>(&message);
        activity_.onStatement(statement);
        timer_.cancel();
        upstream_->forward(line, statement == nullptr ? relay::SessionStatement{} : *statement);
    }

    void onUpstreamLine(std::string_view line)
    {
        connection_->send(std::string(line) + "\r\n");
    }

    void onUpstreamAccepted()
    {
        activity_.onOpened(evloop::bootTimeNow());
        handlers_.forwardAccepted(upstream_->proxy(), identity_);
    }

    void onUpstreamAnswered(relay::SessionState state)
    {
        activity_.onAnswered(state, evloop::bootTimeNow());
        if (ending_) {
            endWithdrawnSession();
            return;
        }
        if (endsWhenIdle_ && activity_.isIdle() && activity_.inSetup()) {
            startTimer(timer_, SessionActivity::setupIdleTimeout, &CallerConnection::finishUnlessReplyPending);
        }
        if (deadlinePassed_ || (endsWhenIdle_ && activity_.isIdle() && !activity_.inSetup())) {
            finish();
        } else if (!endIfElsewhere()) {
            connection_->resume();
        }
    }

    void startTimer(boost::asio::steady_timer &timer, Microseconds delay, void (CallerConnection::*due)())
    {
        timer.expires_after(delay);
        timer.async_wait([self = this->shared_from_this(), due](const boost::system::error_code &error) {
            if (!error && self->handlers_.closed) {
                (self.get()->*due)();
            }
        });
    }

    void onDeadline()
    {
        if (forwarded()) {
            deadlinePassed_ = true;
            finishUnlessReplyPending();
        }
    }

    void finishUnlessReplyPending()
    {
        if (!activity_.replyPending()) {
            finish();
        }
    }

    /// Ends a session between two statements if another proxy should serve it; not right after its setup.
    [[nodiscard]] bool endIfElsewhere()
    {
        return activity_.isIdle() && !activity_.inSetup() && redirect();
    }

    /// Ends the session if another proxy should serve it.
    [[nodiscard]] bool redirect()
    {
        auto better = departing_ ? std::optional(Address{}) : std::nullopt;
        if (!better && handlers_.redirect) {
            better = handlers_.redirect(database_, identity_, upstream_ ? upstream_->proxy() : Address{});
        }
        if (better) {
            handlers_.redirected(*better);
            finish();
        }
        return better.has_value();
    }

    void onRelocationTimer()
    {
        relocationPending_ = false;
        const auto wait = activity_.expectsStatementFor(evloop::bootTimeNow());
        if (!sessionStarted_ || !activity_.isIdle()) {
            return;
        }
        if (wait > Microseconds{0}) {
            relocateAfter(wait, departing_);
            return;
        }
        (void)redirect();
    }

    std::optional<ForwardTarget> nextTarget(const Address &failed, bool refused)
    {
        refused ? handlers_.forwardRefused(failed, identity_) : handlers_.forwardFailed(failed);
        return handlers_.forward ? handlers_.forward(database_, identity_) : std::nullopt;
    }

    void onNoUpstream()
    {
        dropUpstream();
        openLocally();
        connection_->resume();
    }

    [[nodiscard]] std::optional<Error> identityFault() const
    {
        return handlers_.identityFault ? handlers_.identityFault(database_, identity_) : std::nullopt;
    }

    void endWithdrawnSession();
    void refuseWithdrawn(bool endsSession);
    void onUpstreamLost();
    void resumeLocally();

    void sendReply(const relay::CallerReply &reply)
    {
        std::string text;
        Wire::appendReply(text, reply);
        connection_->send(text);
    }

    void dropUpstream()
    {
        timer_.cancel();
        deadlineTimer_.cancel();
        if (upstream_) {
            std::exchange(upstream_, nullptr)->abort();
        }
    }

    void refuse(const Error &error)
    {
        std::string text;
        Wire::appendRefusal(text, error);
        connection_->send(text);
        finish();
    }

    /// Ends the session from the local side and calls the `closed` handler.
    void finish()
    {
        const auto closed = std::exchange(handlers_, {}).closed;
        connection_->closeWhenSent();
        end(closed);
    }

    void end(const std::function<void()> &closed)
    {
        dropUpstream();
        if (closed) {
            closed();
        }
    }

    void onClosed(evloop::CloseReason reason)
    {
        if (reason == evloop::CloseReason::TooLong) {
            refuse(Error{ErrorKind::TooLarge, "the message is too long"});
            return;
        }
        if (reason == evloop::CloseReason::NotReading) {
            connection_->abort();
        }
        end(std::exchange(handlers_, {}).closed);
    }

    boost::asio::io_context &loop_;
    boost::asio::steady_timer timer_;
    /// Fires at the deadline that endBy() set.
    boost::asio::steady_timer deadlineTimer_;
    /// Fires when a session that belongs elsewhere is to be ended.
    boost::asio::steady_timer relocationTimer_;
    std::shared_ptr<evloop::LineConnection> connection_;
    /// Empty once the connection has ended or close() was called.
    CallerConnectionHandlers handlers_;
    bool sessionStarted_ = false;
    relay::DatabaseName database_;
    customers::CallerIdentity identity_;
    /// The session at the proxy that serves it; null when this process serves it.
    std::shared_ptr<Upstream> upstream_;
    SessionActivity activity_;
    bool endsWhenIdle_ = false;
    /// The key of the forwarded session was withdrawn: the error for a statement that was not sent.
    std::optional<Error> ending_;
    /// See relocateAfter().
    bool departing_ = false;
    bool relocationPending_ = false;
    /// The deadline of endBy() has passed.
    bool deadlinePassed_ = false;
};

} // namespace cardamomstep::gateway

#include "gateway/impl/forwardedsessionend.h"
