// One caller's connection: lines in, statements out, and answers back.
#pragma once

#include "evloop/lineconnection.h"
#include "relay/wire.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace cardamomstep::gateway {

/// What a caller's connection reports.
struct CallerLinkHandlers {
    /// Opens the session; an error ends it.
    std::function<Result<Success>(const relay::DatabaseName &database)> opened;
    std::function<void(relay::SessionStatement statement)> statement;
    /// The connection ended; not called after close().
    std::function<void()> closed;
};

/// One caller's connection; statements are reported one at a time, the next one after reply().
template<relay::WireCodec Wire>
class CallerLink : public std::enable_shared_from_this<CallerLink<Wire>>
{
public:
    CallerLink(boost::asio::ip::tcp::socket socket, CallerLinkHandlers handlers)
        : connection_(std::make_shared<evloop::LineConnection>(std::move(socket), evloop::LineLimits{Wire::maxMessage}))
        , handlers_(std::move(handlers))
    {
    }

    void start()
    {
        connection_->start(
            [self = this->shared_from_this()](std::string_view line) {
                self->take(line);
            },
            [self = this->shared_from_this()](evloop::LineEnd reason) {
                self->ended(reason);
            });
    }

    /// Sends the answer to the statement under way.
    void reply(const relay::CallerReply &reply)
    {
        std::string text;
        Wire::appendReply(text, reply);
        connection_->send(text);
        connection_->resume();
    }

    /// Ends the session once what was sent has left.
    void close()
    {
        handlers_ = {};
        connection_->closeWhenSent();
    }

private:
    void take(std::string_view line)
    {
        auto message = Wire::parseCaller(line);
        if (auto *start = std::get_if<relay::StartSession>(&message)) {
            open(*start);
        } else if (auto *statement = std::get_if<relay::SessionStatement>(&message); statement != nullptr && started_) {
            connection_->pause();
            if (handlers_.statement) {
                handlers_.statement(std::move(*statement));
            }
        } else if (std::holds_alternative<relay::EndSession>(message)) {
            finish();
        } else {
            refuse(Error{ErrorKind::MalformedRequest, "the message cannot be read"});
        }
    }

    void open(const relay::StartSession &start)
    {
        if (std::exchange(started_, true)) {
            refuse(Error{ErrorKind::MalformedRequest, "the session is open already"});
            return;
        }
        const auto opened = handlers_.opened ? handlers_.opened(start.database) : Result<Success>(Error{});
        if (!opened) {
            refuse(opened.error());
            return;
        }
        std::string text;
        Wire::appendSessionReady(text);
        connection_->send(text);
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
        if (closed) {
            closed();
        }
    }

    std::shared_ptr<evloop::LineConnection> connection_;
    CallerLinkHandlers handlers_;
    bool started_ = false;
};

} // namespace cardamomstep::gateway
