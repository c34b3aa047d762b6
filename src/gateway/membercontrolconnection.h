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
struct ControlAnswer {
    /// False when no answer came in time.
    bool answered = false;
    /// Nothing when the member was too busy to tell.
    std::optional<relay::MemberAccount> account;
};

/// Sends orders to one member, one answer after the other.
template<relay::WireCodec Wire>
class MemberControl : public std::enable_shared_from_this<MemberControl<Wire>>
{
public:
    using Handler = std::function<void(const ControlAnswer &answer)>;

    MemberControl(boost::asio::io_context &loop, relay::MemberEntry member)
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
        return link_ != nullptr;
    }

    /// Requests that are not answered yet.
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return waiting_.size();
    }

    /// Sends \a request; \a done is called once, within about the time that expire() allows.
    void ask(relay::MemberRequest request, Handler done)
    {
        waiting_.push_back({evloop::bootTimeNow(), std::move(done)});
        if (!link_) {
            open();
        }
        if (open_) {
            link_->send({request});
        } else {
            unsent_.push_back(std::move(request));
        }
    }

    /// Gives up the connection when its oldest request has waited for \a patience.
    void expire(TimePoint now, Milliseconds patience)
    {
        if (!waiting_.empty() && now - waiting_.front().first >= patience) {
            close();
        }
    }

    /// Closes the connection; what waits is told that no answer came.
    void close()
    {
        if (link_) {
            std::exchange(link_, nullptr)->close();
        }
        failAll(false);
    }

private:
    void open()
    {
        MemberLinkHandlers handlers;
        handlers.opened = [self = this->shared_from_this()](const std::optional<Mark> &) {
            self->open_ = true;
            self->link_->send(std::exchange(self->unsent_, {}));
        };
        handlers.replied = [self = this->shared_from_this()](const relay::MemberReply &reply) {
            self->replied(reply);
        };
        handlers.closed = [self = this->shared_from_this()](std::optional<relay::MemberFault> refusal) {
            self->link_ = nullptr;
            // A member that refuses a connection because it has too many is alive.
            self->failAll(refusal == relay::MemberFault::TooManyConnections);
        };
        link_ = std::make_shared<MemberLink<Wire>>(std::move(handlers));
        link_->open(loop_, member_.address, member_.group, member_.name);
    }

    void replied(const relay::MemberReply &reply)
    {
        if (waiting_.empty()) {
            close();
            return;
        }
        const auto done = std::move(waiting_.front().second);
        waiting_.pop_front();
        ControlAnswer answer{true, std::nullopt};
        if (!reply.fault && !reply.rows.empty()) {
            answer.account = Wire::parseAccount(reply.rows.front());
        }
        done(answer);
    }

    void failAll(bool alive)
    {
        open_ = false;
        unsent_.clear();
        for (auto &[since, done] : std::exchange(waiting_, {})) {
            done(ControlAnswer{alive, std::nullopt});
        }
    }

    boost::asio::io_context &loop_;
    relay::MemberEntry member_;
    std::shared_ptr<MemberLink<Wire>> link_;
    bool open_ = false;
    std::vector<relay::MemberRequest> unsent_;
    std::deque<std::pair<TimePoint, Handler>> waiting_;
};

} // namespace cardamomstep::gateway
