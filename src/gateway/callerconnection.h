// One caller's connection: lines in, statements out, and answers back.
#pragma once

#include "evloop/lineconnection.h"
#include "gateway/forwardtarget.h"
#include "relay/forwardedsession.h"
#include "relay/wire.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cardamomstep::gateway {

/// What a caller's connection reports.
struct CallerLinkHandlers {
    /// Opens the session; an error ends it.
    std::function<Result<Success>(const relay::DatabaseName &database)> opened;
    std::function<void(const relay::SessionStatement &statement)> statement;
    /// The connection ended; not called after close().
    std::function<void()> closed;
    /// Where the session is passed on to; nothing when this process serves it.
    std::function<std::optional<ForwardTarget>(const relay::DatabaseName &database)> forward;
    /// A proxy could not be reached, or did not answer.
    std::function<void(const Address &proxy)> forwardFailed;
    /// A session served here ended at rest, so that the caller's next one goes to \a proxy.
    std::function<void(const Address &proxy)> endedForTarget;
    /// Goes on here with a session whose proxy is lost; false when that is not possible.
    std::function<bool(const relay::CallerSession &session)> adopted;
};

/// One caller's connection; statements are reported one at a time, the next one after reply().
///
/// A session that another proxy serves is passed on line by line; the answers come back unchanged.
template<relay::WireCodec Wire>
class CallerLink : public std::enable_shared_from_this<CallerLink<Wire>>
{
public:
    CallerLink(boost::asio::io_context &loop, boost::asio::ip::tcp::socket socket, CallerLinkHandlers handlers)
        : loop_(loop)
        , silence_(loop)
        , connection_(std::make_shared<evloop::LineConnection>(std::move(socket), evloop::LineLimits{Wire::maxMessage}))
        , handlers_(std::move(handlers))
    {
    }

    void start()
    {
        connection_->start([self = this->shared_from_this()](std::string_view line) { self->take(line); },
                           [self = this->shared_from_this()](evloop::LineEnd reason) { self->ended(reason); });
    }

    /// Sends the answer to the statement under way.
    ///
    /// A resting session that another proxy should serve ends with it: the caller's next one is passed on.
    void reply(const relay::CallerReply &reply)
    {
        std::string text;
        Wire::appendReply(text, reply);
        connection_->send(text);
        const bool rests = reply.state == relay::SessionState::Idle && !setUp_;
        const auto target = rests && handlers_.forward ? handlers_.forward(database_) : std::nullopt;
        if (target) {
            handlers_.endedForTarget(target->proxy);
            finish();
            return;
        }
        connection_->resume();
    }

    /// Ends the session once what was sent has left.
    void close()
    {
        handlers_ = {};
        connection_->closeWhenSent();
        dropUpstream();
    }

    /// True when another proxy serves the session.
    [[nodiscard]] bool forwarded() const noexcept
    {
        return upstream_ != nullptr;
    }

    /// Ends a forwarded session as soon as it rests; true when it rests now.
    [[nodiscard]] bool endWhenResting()
    {
        ending_ = true;
        const bool resting = !outstanding_ && state_ == relay::SessionState::Idle;
        if (resting && setUp_) {
            endSoon();
            return false;
        }
        return resting;
    }

private:
    /// Longest time to reach another proxy.
    static constexpr Milliseconds forwardConnect{300};
    /// Time for an answer to come back from the proxy that serves a session, beyond the statement's own timeout.
    static constexpr Milliseconds forwardMargin{150};
    /// Time for the statement that a session was just set up for, before the session ends.
    static constexpr Milliseconds setUpRest{400};

    void take(std::string_view line)
    {
        if (upstream_) {
            passOn(line);
            return;
        }
        const auto message = Wire::parseCaller(line);
        if (const auto *start = std::get_if<relay::StartSession>(&message)) {
            open(*start, std::string(line));
        } else if (const auto *statement = std::get_if<relay::SessionStatement>(&message); statement != nullptr && started_) {
            connection_->pause();
            setUp_ = relay::setsUpSession(statement->kind);
            if (handlers_.statement) {
                handlers_.statement(*statement);
            }
        } else if (std::holds_alternative<relay::EndSession>(message)) {
            finish();
        } else {
            refuse(Error{ErrorKind::MalformedRequest, "the message cannot be read"});
        }
    }

    void open(const relay::StartSession &start, const std::string &line)
    {
        if (std::exchange(started_, true)) {
            refuse(Error{ErrorKind::MalformedRequest, "the session is open already"});
            return;
        }
        database_ = start.database;
        const auto target = handlers_.forward ? handlers_.forward(database_) : std::nullopt;
        if (!target) {
            openHere();
            return;
        }
        target_ = *target;
        session_.emplace(database_);
        connection_->pause();
        evloop::connect(loop_, target_.proxy, forwardConnect, [self = this->shared_from_this(), line](auto socket) {
            self->reached(std::move(socket), line);
        });
    }

    void openHere()
    {
        const auto opened = handlers_.opened ? handlers_.opened(database_) : Result<Success>(Error{});
        if (!opened) {
            refuse(opened.error());
            return;
        }
        std::string text;
        Wire::appendSessionReady(text);
        connection_->send(text);
    }

    /// The other proxy was reached, or not; then the session is served here.
    void reached(std::unique_ptr<boost::asio::ip::tcp::socket> socket, const std::string &line)
    {
        if (!handlers_.closed) {
            return;
        }
        if (!socket) {
            serveHere();
            return;
        }
        upstream_ = std::make_shared<evloop::LineConnection>(std::move(*socket), evloop::LineLimits{Wire::maxMessage});
        upstream_->start([self = this->shared_from_this()](std::string_view answer) { self->passBack(answer); },
                         [self = this->shared_from_this()](evloop::LineEnd) { self->upstreamEnded(); });
        sendUpstream(line);
    }

    void passOn(std::string_view line)
    {
        const auto message = Wire::parseCaller(line);
        if (std::holds_alternative<relay::EndSession>(message)) {
            finish();
            return;
        }
        connection_->pause();
        const auto *statement = std::get_if<relay::SessionStatement>(&message);
        setUp_ = statement != nullptr && relay::setsUpSession(statement->kind);
        session_->sent(statement == nullptr ? relay::SessionStatement{} : *statement);
        sendUpstream(line);
    }

    void sendUpstream(std::string_view line)
    {
        outstanding_ = true;
        upstream_->send(std::string(line) + "\r\n");
        silence_.expires_after(target_.statementTimeout + forwardMargin);
        silence_.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->outstanding_ && self->upstream_) {
                self->upstreamEnded();
            }
        });
    }

    void passBack(std::string_view line)
    {
        const auto message = Wire::parseMember(line);
        const auto *ready = std::get_if<relay::MemberReady>(&message);
        if (!accepted_ && ready == nullptr) {
            // The other proxy may know an older configuration than this one, or be stopping.
            serveHere();
            return;
        }
        connection_->send(std::string(line) + "\r\n");
        if (ready == nullptr) {
            succeeded_ = std::holds_alternative<relay::MemberSuccess>(message);
            session_->partPassed();
            return;
        }
        if (std::exchange(accepted_, true)) {
            session_->answered(std::exchange(succeeded_, false), ready->state, ready->position);
        }
        outstanding_ = false;
        state_ = ready->state;
        silence_.cancel();
        if (ending_ && state_ == relay::SessionState::Idle && !setUp_) {
            finish();
            return;
        }
        if (ending_ && state_ == relay::SessionState::Idle) {
            endSoon();
        }
        connection_->resume();
    }

    /// Ends the session unless the statement that it was set up for comes in time.
    void endSoon()
    {
        silence_.expires_after(setUpRest);
        silence_.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->outstanding_) {
                self->finish();
            }
        });
    }

    /// Serves a session that the other proxy did not take.
    void serveHere()
    {
        if (handlers_.forwardFailed) {
            handlers_.forwardFailed(target_.proxy);
        }
        outstanding_ = false;
        dropUpstream();
        openHere();
        connection_->resume();
    }

    /// The proxy that serves the session ended it, or is gone or silent.
    void upstreamEnded()
    {
        if (!handlers_.closed) {
            return;
        }
        if (!accepted_) {
            serveHere();
            return;
        }
        if (!outstanding_) {
            finish();
            return;
        }
        handlers_.forwardFailed(target_.proxy);
        goOnHere();
    }

    /// Answers the statement whose answer is lost, or runs it again here, and serves the session from here on.
    void goOnHere()
    {
        outstanding_ = false;
        dropUpstream();
        if (!session_->known()) {
            finish();
            return;
        }
        const auto answer = session_->lost();
        const bool adopted = handlers_.adopted && handlers_.adopted(session_->session());
        if (answer) {
            reply(*answer);
        }
        if (!adopted) {
            finish();
        } else if (!answer) {
            handlers_.statement(session_->statement());
        }
    }

    void dropUpstream()
    {
        silence_.cancel();
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

    /// Ends the session from this side, and reports it.
    void finish()
    {
        const auto closed = std::exchange(handlers_, {}).closed;
        connection_->closeWhenSent();
        dropUpstream();
        if (closed) {
            closed();
        }
    }

    void ended(evloop::LineEnd reason)
    {
        if (reason == evloop::LineEnd::TooLong) {
            refuse(Error{ErrorKind::TooLarge, "the message is too long"});
            return;
        }
        if (reason == evloop::LineEnd::NotReading) {
            connection_->abort();
        }
        const auto closed = std::exchange(handlers_, {}).closed;
        dropUpstream();
        if (closed) {
            closed();
        }
    }

    boost::asio::io_context &loop_;
    boost::asio::steady_timer silence_;
    std::shared_ptr<evloop::LineConnection> connection_;
    CallerLinkHandlers handlers_;
    bool started_ = false;
    relay::DatabaseName database_;
    /// The connection to the proxy that serves the session; null when this process does.
    std::shared_ptr<evloop::LineConnection> upstream_;
    ForwardTarget target_;
    /// What is known of the session while another proxy serves it.
    std::optional<relay::ForwardedSession> session_;
    /// The other proxy took the session.
    bool accepted_ = false;
    /// The answer to the forwarded line told success so far.
    bool succeeded_ = false;
    /// A forwarded line is not answered yet.
    bool outstanding_ = false;
    relay::SessionState state_ = relay::SessionState::Idle;
    /// The last statement only set the session up: the one that it is for follows.
    bool setUp_ = false;
    bool ending_ = false;
};

} // namespace cardamomstep::gateway
