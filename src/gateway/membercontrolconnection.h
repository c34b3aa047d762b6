// A kept connection to one member for orders and questions of the lease holder.
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

/// What a member answered to an order or a question.
struct ControlReply {
    /// False when no answer came in time.
    bool received = false;
    /// Nothing when the member was too busy to tell.
    std::optional<relay::MemberStatusReply> account;
};

/// Sends orders to one member, one answer after the other.
template<relay::WireCodec Wire>
class MemberControlConnection : public std::enable_shared_from_this<MemberControlConnection<Wire>>
{
public:
    using Handler = std::function<void(const ControlReply &answer)>;

    MemberControlConnection(boost::asio::io_context &loop, relay::MemberEntry member)
        : loop_(loop)
        , member_(std::move(member))
    {
    }

    [[nodiscard]] const relay::MemberEntry &member() const noexcept
    {
        return member_;
    }

    /// True while a connection stands or is being opened.
    [[nodiscard]] bool connected() const noexcept
    {
        return connection_ != nullptr;
    }

    /// Requests that are not answered yet.
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return pending_.size();
    }

    /// Sends \a request; \a done is called once, within about the time that expire() allows.
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

    /// Gives up the connection when its oldest request has waited for \a patience.
    void expire(TimePoint now, Milliseconds timeout)
    {
        if (!pending_.empty() && now - pending_.front().first >= timeout) {
            close();
        }
    }

    /// Closes the connection; what waits is told that no answer came.
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
            // A member that refuses a connection because it has too many is alive.
            self->failAll(refusal == relay::MemberFault::TooManyConnections);
        };
        connection_ = std::make_shared<MemberConnection<Wire>>(std::move(handlers));
        connection_->open(loop_, member_.address, member_.group, member_.name);
    }

    void onReply(const relay::MemberReply &reply)
    {
        if (pending_.empty()) {
            close();
            return;
        }
        const auto done = std::move(pending_.front().second);
        pending_.pop_front();
        ControlReply answer{true, std::nullopt};
        if (!reply.fault && !reply.rows.empty()) {
            answer.account = Wire::parseAccount(reply.rows.front());
        }
        done(answer);
    }

    void failAll(bool alive)
    {
        open_ = false;
        unsent_.clear();
        for (auto &[since, done] : std::exchange(pending_, {})) {
            done(ControlReply{alive, std::nullopt});
        }
    }

    boost::asio::io_context &loop_;
    relay::MemberEntry member_;
    std::shared_ptr<MemberConnection<Wire>> connection_;
    bool open_ = false;
    std::vector<relay::MemberRequest> unsent_;
    std::deque<std::pair<TimePoint, Handler>> pending_;
};

} // namespace cardamomstep::gateway
