// One connection to a member: sends requests and reports complete replies.
#pragma once

#include "evloop/lineconnection.h"
#include "relay/wire.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// Callbacks of a MemberConnection.
struct MemberConnectionHandlers {
    std::function<void(const std::optional<LogPosition> &position)> opened;
    std::function<void(const relay::MemberReply &reply)> replied;
    /// The connection ended or was refused; called at most once, and not after close().
    std::function<void(std::optional<relay::MemberFault> refusal)> closed;
};

/// One connection to a member; it keeps itself alive until it is closed.
template<relay::WireCodec Wire>
class MemberConnection : public std::enable_shared_from_this<MemberConnection<Wire>>
{
public:
    explicit MemberConnection(MemberConnectionHandlers handlers)
        : handlers_(std::move(handlers))
    {
    }

    /// Connects to \a address and sends the handshake for \a member of \a group on behalf of \a customer.
    void open(boost::asio::io_context &loop,
              const Address &address,
              const GroupName &group,
              const CustomerName &customer,
              const MemberName &member)
    {
        evloop::connect(loop, address, openTimeout, [self = this->shared_from_this(), group, customer, member](auto socket) {
            if (self->ended_) {
                return;
            }
            if (!socket) {
                self->end(std::nullopt);
                return;
            }
            self->startHandshake(std::move(*socket), group, customer, member);
        });
    }

    /// Sends \a requests in this order; the `opened` handler must have been called.
    void send(const std::vector<relay::MemberRequest> &requests)
    {
        if (!connection_) {
            return;
        }
        std::string text;
        for (const auto &request : requests) {
            Wire::appendMemberRequest(text, request);
        }
        connection_->send(text);
    }

    /// Closes the connection immediately; no handler is called any more.
    void close()
    {
        ended_ = true;
        handlers_ = {};
        if (connection_) {
            connection_->abort();
        }
    }

private:
    /// Timeout for establishing the TCP connection.
    static constexpr Milliseconds openTimeout{800};
    /// Rows of the largest valid reply; a larger one ends the connection.
    static constexpr std::size_t maxRows = 100'000;

    void startHandshake(boost::asio::ip::tcp::socket socket, const GroupName &group, const CustomerName &customer, const MemberName &member)
    {
        connection_ = std::make_shared<evloop::LineConnection>(std::move(socket), evloop::LineLimits{Wire::maxMessage});
        connection_->start([self = this->shared_from_this()](std::string_view line) { self->onLine(line); },
                           [self = this->shared_from_this()](evloop::CloseReason) { self->end(std::nullopt); });
        std::string text;
        Wire::appendMemberStart(text, group, customer, member);
        connection_->send(text);
    }

    void onLine(std::string_view line)
    {
        auto message = Wire::parseMember(line);
        if (auto *row = std::get_if<relay::MemberRow>(&message); row != nullptr && reply_.rows.size() < maxRows) {
            reply_.rows.push_back(std::move(row->data));
        } else if (auto *success = std::get_if<relay::MemberSuccess>(&message)) {
            reply_.signature = std::move(success->signature);
            replyComplete_ = true;
        } else if (const auto *error = std::get_if<relay::MemberError>(&message)) {
            handleError(error->fault);
        } else if (const auto *ready = std::get_if<relay::MemberReady>(&message)) {
            handleReady(*ready);
        } else {
            end(std::nullopt);
        }
    }

    void handleError(relay::MemberFault fault)
    {
        if (!open_) {
            end(fault);
            return;
        }
        reply_.fault = fault;
        replyComplete_ = true;
    }

    void handleReady(const relay::MemberReady &ready)
    {
        if (!std::exchange(open_, true)) {
            if (handlers_.opened) {
                handlers_.opened(ready.position);
            }
            return;
        }
        if (!std::exchange(replyComplete_, false)) {
            end(std::nullopt);
            return;
        }
        reply_.state = ready.state;
        reply_.position = ready.position;
        const auto reply = std::exchange(reply_, {});
        if (handlers_.replied) {
            handlers_.replied(reply);
        }
    }

    void end(std::optional<relay::MemberFault> refusal)
    {
        if (std::exchange(ended_, true)) {
            return;
        }
        if (connection_) {
            connection_->abort();
        }
        const auto closed = std::exchange(handlers_, {}).closed;
        if (closed) {
            closed(refusal);
        }
    }

    MemberConnectionHandlers handlers_;
    std::shared_ptr<evloop::LineConnection> connection_;
    /// The reply being read.
    relay::MemberReply reply_;
    bool replyComplete_ = false;
    /// The member accepted the connection.
    bool open_ = false;
    bool ended_ = false;
};

} // namespace cardamomstep::gateway
