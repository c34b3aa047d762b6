// The connections to members that the engine opened: performs its actions on them and reports what members reply.
#pragma once

#include "evloop/clock.h"
#include "gateway/memberconnection.h"
#include "gateway/proxymetrics.h"
#include "relay/engine.h"

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace cardamomstep::gateway {

/// All connections of one process to members; \a Wire is the line format.
template<relay::WireCodec Wire>
class MemberConnections
{
public:
    /// \a perform is called after each report to the engine, to perform the actions that follow from it.
    MemberConnections(boost::asio::io_context &loop, relay::Engine &engine, ProxyMetrics &metrics, std::function<void()> perform)
        : loop_(loop)
        , engine_(engine)
        , metrics_(metrics)
        , perform_(std::move(perform))
    {
    }

    void open(const relay::OpenMemberConnection &action)
    {
        const auto key = action.connection;
        MemberConnectionHandlers handlers;
        handlers.opened = [this, key](const std::optional<LogPosition> &position) {
            engine_.connectionOpened(key, position, evloop::bootTimeNow());
            perform_();
        };
        handlers.replied = [this, key](const relay::MemberReply &reply) {
            engine_.connectionReplied(key, reply, evloop::bootTimeNow());
            perform_();
        };
        handlers.closed = [this, key](std::optional<relay::MemberFault> refusal) {
            connections_.erase(key);
            engine_.connectionClosed(key, refusal, evloop::bootTimeNow());
            perform_();
        };
        const auto connection = std::make_shared<MemberConnection<Wire>>(std::move(handlers));
        connections_.emplace(key, connection);
        metrics_.memberConnectionOpened();
        connection->open(loop_, action.address, action.group, action.customer, action.member);
    }

    void send(const relay::SendToMember &action)
    {
        const auto connection = connections_.find(action.connection);
        if (connection != connections_.end()) {
            connection->second->send(action.requests);
        }
    }

    void close(const relay::CloseMemberConnection &action)
    {
        const auto connection = connections_.find(action.connection);
        if (connection == connections_.end()) {
            return;
        }
        const auto closing = connection->second;
        connections_.erase(connection);
        closing->close();
    }

private:
    boost::asio::io_context &loop_;
    relay::Engine &engine_;
    ProxyMetrics &metrics_;
    std::function<void()> perform_;
    std::unordered_map<relay::MemberConnectionKey, std::shared_ptr<MemberConnection<Wire>>> connections_;
};

} // namespace cardamomstep::gateway
