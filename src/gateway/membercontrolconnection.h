// A persistent connection to one member for orders and queries of the lease holder.
#pragma once

#include "evloop/clock.h"
#include "gateway/memberconnection.h"
#include "relay/directory.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace cardamomstep::gateway {

/// A member's reply to an order or a query.
struct ControlReply {
    /// False when the connection failed or was closed before a reply; true also when the member refused it because it has too many.
    bool received = false;
    /// std::nullopt when the reply holds no status, as when the member was too busy.
    std::optional<relay::MemberStatusReply> status;
};

/// Sends orders and queries to one member, which replies in the same order.
template<relay::WireCodec Wire>
class MemberControlConnection : public std::enable_shared_from_this<MemberControlConnection<Wire>>
{
public:
    using Handler = std::function<void(const ControlReply &controlReply)>;

    MemberControlConnection(boost::asio::io_context &loop, relay::MemberEntry member)
        : loop_(loop)
        , member_(std::move(member))
    {
    }

    [[nodiscard]] const relay::MemberEntry &member() const noexcept
    {
        return member_;
    }

    /// True while a connection is open or being opened.
    [[nodiscard]] bool connected() const noexcept
    {
        return connection_ != nullptr;
    }

    /// The number of requests without a reply yet.
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return pending_.size();
    }

    /// Sends \a request; \a done is called once, without a reply when the connection closes first, as by expire().
    void send(relay::MemberRequest request, Handler done)
    {
        pending_.push_back({evloop::bootTimeNow(), std::move(done)});
        if (!connection_) {
            open();
        }
        if (open_) {
            connection_->send({request});
        } else {
            unsent_.push_back(std::move(request));
        }
    }

    /// Closes the connection when its oldest request has waited for \a timeout.
    void expire(TimePoint now, Milliseconds timeout)
    {
        if (!pending_.empty() && now - pending_.front().first >= timeout) {
            close();
        }
    }

    /// Closes the connection; pending requests complete without a reply.
    void close()
    {
        if (connection_) {
            std::exchange(connection_, nullptr)->close();
        }
        failAll(false);
    }

private:
    void open()
    {
        MemberConnectionHandlers handlers;
        handlers.opened = [self = this->shared_from_this()](const std::optional<LogPosition> &) {
            self->open_ = true;
            self->connection_->send(std::exchange(self->unsent_, {}));
        };
        handlers.replied = [self = this->shared_from_this()](const relay::MemberReply &reply) {
            self->onReply(reply);
        };
        handlers.closed = [self = this->shared_from_this()](std::optional<relay::MemberFault> refusal) {
            self->connection_ = nullptr;
            // A member that refuses a connection because it has too many is alive, which counts as a reply.
            self->failAll(refusal == relay::MemberFault::TooManyConnections);
        };
        connection_ = std::make_shared<MemberConnection<Wire>>(std::move(handlers));
        connection_->open(loop_, member_.address, member_.group, CustomerName{}, member_.name);
    }

    void onReply(const relay::MemberReply &reply)
    {
        if (pending_.empty()) {
            close();
            return;
        }
        const auto done = std::move(pending_.front().second);
        pending_.pop_front();
        ControlReply controlReply{true, std::nullopt};
        if (!reply.fault && !reply.rows.empty()) {
            controlReply.status = Wire::parseStatusReply(reply.rows.front());
        }
        done(controlReply);
    }

    void failAll(bool alive)
    {
        open_ = false;
        unsent_.clear();
        for (auto &[requestedAt, done] : std::exchange(pending_, {})) {
            done(ControlReply{alive, std::nullopt});
        }
    }

    boost::asio::io_context &loop_;
    relay::MemberEntry member_;
    std::shared_ptr<MemberConnection<Wire>> connection_;
    bool open_ = false;
    /// Requests to be sent when the connection is open.
    std::vector<relay::MemberRequest> unsent_;
    /// The time and the handler of each request without a reply yet, oldest first.
    std::deque<std::pair<TimePoint, Handler>> pending_;
};

} // namespace cardamomstep::gateway
