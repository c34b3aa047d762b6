// One connection to a member: requests out, whole answers back.
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

/// What a member's connection reports.
struct MemberLinkHandlers {
    std::function<void(const std::optional<Mark> &position)> opened;
    std::function<void(const relay::MemberReply &reply)> replied;
    /// The connection ended or was refused; called once, and not after close().
    std::function<void(std::optional<relay::MemberFault> refusal)> closed;
};

/// One connection to a member; it keeps itself alive until it is closed.
template<relay::WireCodec Wire>
class MemberLink : public std::enable_shared_from_this<MemberLink<Wire>>
{
public:
    explicit MemberLink(MemberLinkHandlers handlers)
        : handlers_(std::move(handlers))
    {
    }

    /// Connects to \a address and introduces itself to \a member.
    void open(boost::asio::io_context &loop, const Address &address, const GroupName &group, const MemberName &member)
    {
        evloop::connect(loop, address, openTimeout, [self = this->shared_from_this(), group, member](auto socket) {
            if (self->ended_) {
                return;
            }
            if (!socket) {
                self->end(std::nullopt);
                return;
            }
            self->introduce(std::move(*socket), group, member);
        });
    }

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

    void close()
    {
        ended_ = true;
        handlers_ = {};
        if (connection_) {
            connection_->abort();
        }
    }

private:
    /// Longest time for the connection to stand.
    static constexpr Milliseconds openTimeout{800};
    /// An answer of more rows counts as damaged.
    static constexpr std::size_t maxRows = 100'000;

    void introduce(boost::asio::ip::tcp::socket socket, const GroupName &group, const MemberName &member)
    {
        connection_ = std::make_shared<evloop::LineConnection>(std::move(socket), evloop::LineLimits{Wire::maxMessage});
        connection_->start([self = this->shared_from_this()](std::string_view line) { self->take(line); },
                           [self = this->shared_from_this()](evloop::LineEnd) { self->end(std::nullopt); });
        std::string text;
        Wire::appendMemberStart(text, group, member);
        connection_->send(text);
    }

    void take(std::string_view line)
    {
        auto message = Wire::parseMember(line);
        if (auto *row = std::get_if<relay::MemberRow>(&message); row != nullptr && reply_.rows.size() < maxRows) {
            reply_.rows.push_back(std::move(row->data));
        } else if (auto *success = std::get_if<relay::MemberSuccess>(&message)) {
            reply_.signature = std::move(success->signature);
            answered_ = true;
        } else if (const auto *error = std::get_if<relay::MemberError>(&message)) {
            takeError(error->fault);
        } else if (const auto *ready = std::get_if<relay::MemberReady>(&message)) {
            takeReady(*ready);
        } else {
            end(std::nullopt);
        }
    }

    void takeError(relay::MemberFault fault)
    {
        if (!open_) {
            end(fault);
            return;
        }
        reply_.fault = fault;
        answered_ = true;
    }

    void takeReady(const relay::MemberReady &ready)
    {
        if (!std::exchange(open_, true)) {
            if (handlers_.opened) {
                handlers_.opened(ready.position);
            }
            return;
        }
        if (!std::exchange(answered_, false)) {
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

    MemberLinkHandlers handlers_;
    std::shared_ptr<evloop::LineConnection> connection_;
    /// The answer being read.
    relay::MemberReply reply_;
    bool answered_ = false;
    /// The member accepted the connection.
    bool open_ = false;
    bool ended_ = false;
};

} // namespace cardamomstep::gateway
