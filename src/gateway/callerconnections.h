// The connections of callers: reports their statements to the engine, returns its answers, and ends them when the process stops.
#pragma once

#include "base/random.h"
#include "evloop/clock.h"
#include "gateway/callerconnection.h"
#include "gateway/proxymetrics.h"
#include "gateway/sessionplacement.h"
#include "logging/log.h"
#include "relay/engine.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// Callbacks of a CallerConnections.
struct CallerConnectionsHandlers {
    std::function<void(LogLevel level, std::string_view event, const std::vector<LogField> &fields)> log;
    /// Performs the engine's pending actions; called after each report to the engine.
    std::function<void()> perform;
    /// A caller's connection has ended.
    std::function<void()> ended;
};

/// All connections of callers to one process; \a Wire is the line format.
template<relay::WireCodec Wire>
class CallerConnections
{
public:
    CallerConnections(boost::asio::io_context &loop,
                      relay::Engine &engine,
                      SessionPlacement &placement,
                      ProxyMetrics &metrics,
                      CallerConnectionsHandlers handlers,
                      std::uint64_t seed = 1)
        : loop_(loop)
        , engine_(engine)
        , placement_(placement)
        , metrics_(metrics)
        , handlers_(std::move(handlers))
        , random_(seed)
    {
    }

    /// Adds a connection; the sessions of those \a fromProxy are served by this process and never forwarded again.
    void add(boost::asio::ip::tcp::socket socket, bool fromProxy)
    {
        const auto key = nextKey_++;
        const auto caller = std::make_shared<Caller>(loop_, std::move(socket), handlersOf(key, fromProxy));
        callers_.emplace(key, caller);
        if (engine_.draining()) {
            (void)caller->endWhenIdle();
            caller->endBy(transactionsUntil_);
        }
        caller->start();
    }

    void reply(const relay::ReplyToCaller &action)
    {
        const auto caller = callers_.find(action.caller);
        metrics_.answered(action);
        if (caller != callers_.end()) {
            // Sending the answer may deliver the caller's next statement, which may end the session and remove it from callers_.
            const auto connection = caller->second;
            connection->reply(action.reply);
        }
    }

    void close(const relay::CloseCaller &action)
    {
        const auto caller = callers_.find(action.caller);
        if (caller == callers_.end()) {
            return;
        }
        const auto connection = caller->second;
        callers_.erase(caller);
        connection->close();
        keepWhileSending(connection);
        engine_.callerClosed(action.caller, evloop::bootTimeNow());
        handlers_.ended();
    }

    /// Ends the forwarded sessions whose key was withdrawn by a new configuration; the engine ends those of this process.
    void endWithdrawn()
    {
        std::vector<std::shared_ptr<Caller>> forwarded;
        for (const auto &[key, caller] : callers_) {
            if (caller->forwarded()) {
                forwarded.push_back(caller);
            }
        }
        std::map<std::pair<CustomerName, std::string>, std::int64_t> sessionsByKey;
        for (const auto &caller : forwarded) {
            if (caller->endIfKeyWithdrawn()) {
                const auto &identity = caller->identity();
                ++sessionsByKey[{identity.customer, identity.key ? identity.key->shortText() : "-"}];
            }
        }
        for (const auto &[key, sessions] : sessionsByKey) {
            handlers_.log(LogLevel::Info, "key_withdrawn", {{"customer", key.first.text()}, {"key", key.second}, {"sessions", sessions}});
        }
    }

    /// Ends the forwarded sessions, now and of connections added later: each as soon as it is idle, transactions at \a transactionsUntil.
    void endForwarded(TimePoint transactionsUntil)
    {
        transactionsUntil_ = transactionsUntil;
        std::vector<std::shared_ptr<Caller>> idle;
        for (auto caller = callers_.begin(); caller != callers_.end();) {
            caller->second->endBy(transactionsUntil);
            if (caller->second->endWhenIdle()) {
                idle.push_back(caller->second);
                caller = callers_.erase(caller);
            } else {
                ++caller;
            }
        }
        for (const auto &caller : idle) {
            caller->close();
            keepWhileSending(caller);
        }
    }

    /// Ends the sessions that belong elsewhere after \a change: as soon as they are idle, at random times within a second.
    ///
    /// A session that another proxy forwarded here is ended only if this process stops serving its customer. One that arrives when it
    /// already does not serve the customer stays: the other proxy has a different view and would forward the next session here as well.
    void onPlacementChanged(const PlacementChange &change)
    {
        for (const auto &[key, caller] : callers_) {
            const auto share = change.shares.find(caller->identity().customer);
            if (!caller->mayForward() && share != change.shares.end()) {
                const bool departing = share->second.fraction <= 0;
                caller->relocateAfter(relocationSpread / 2 + randomTimeWithin(relocationSpread / 2), departing);
            } else if (caller->mayForward() && placement_.customers().knows(caller->identity().customer)) {
                // Before the serving proxy does: a statement on its way to a proxy that ends the session has an unknown outcome.
                caller->relocateAfter(randomTimeWithin(relocationSpread / 2));
            }
        }
    }

    /// The number of connections with a session, and of those whose last output is still being sent while the process stops.
    [[nodiscard]] std::size_t size() const noexcept
    {
        const auto sending = std::count_if(sending_.begin(), sending_.end(), [](const auto &caller) { return !caller->isClosed(); });
        return callers_.size() + static_cast<std::size_t>(sending);
    }

private:
    using Caller = CallerConnection<Wire>;

    /// The time over which sessions that belong elsewhere are ended.
    static constexpr Microseconds relocationSpread{1'000'000};

    Microseconds randomTimeWithin(Microseconds time)
    {
        return Microseconds{static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(time.count())))};
    }

    /// Counts a connection that is being closed until its output was sent: a process that ends before would lose the last answer.
    void keepWhileSending(const std::shared_ptr<Caller> &caller)
    {
        std::erase_if(sending_, [](const auto &closing) { return closing->isClosed(); });
        if (engine_.draining() && !caller->isClosed()) {
            sending_.push_back(caller);
        }
    }

    CallerConnectionHandlers handlersOf(relay::CallerKey key, bool fromProxy)
    {
        CallerConnectionHandlers handlers;
        if (!fromProxy) {
            handlers.forward = [this, key](const relay::DatabaseName &database, const customers::CallerIdentity &identity) {
                return placement_.targetOf(database, identity, key);
            };
            handlers.redirect =
                [this, key](const relay::DatabaseName &database, const customers::CallerIdentity &identity, const Address &servedBy) {
                    return placement_.redirectTo(database, identity, key, servedBy);
                };
        }
        handlers.forwardRefused = [this](const Address &proxy, const customers::CallerIdentity &identity) {
            if (identity.customer.empty()) {
                handlers_.log(LogLevel::Warning, "forward_failed", {{"proxy", proxy.text()}});
            } else {
                handlers_.log(LogLevel::Warning, "forward_refused", {{"proxy", proxy.text()}, {"customer", identity.customer.text()}});
            }
            placement_.onTargetRefused(proxy, identity.customer);
        };
        handlers.forwardAccepted = [this](const Address &proxy, const customers::CallerIdentity &identity) {
            placement_.onTargetAccepted(proxy, identity.customer);
        };
        handlers.forwardFailed = [this](const Address &proxy) {
            handlers_.log(LogLevel::Warning, "forward_failed", {{"proxy", proxy.text()}});
            placement_.onTargetFailed(proxy);
        };
        handlers.redirected = [this](const Address &proxy) {
            handlers_.log(LogLevel::Info, "session_sent_on", {{"proxy", proxy.text()}});
            metrics_.sessionMoved("sent_on");
        };
        handlers.adopted = [this, key](const relay::CallerSession &session) {
            return adopt(key, session);
        };
        handlers.identify = [this](const relay::DatabaseName &database, std::string_view callerKey) {
            auto identity = engine_.identify(database, callerKey);
            handlers_.perform();
            return identity;
        };
        handlers.identityFault = [this](const relay::DatabaseName &database, const customers::CallerIdentity &identity) {
            return engine_.identityFault(database, identity);
        };
        handlers.opened = [this, key, fromProxy](const relay::DatabaseName &database, const customers::CallerIdentity &identity) {
            if (fromProxy && engine_.draining() && placement_.customers().knows(identity.customer)) {
                // The other proxy forwards the session to another one at once, instead of after its first statement.
                return Result<Success>(Error{ErrorKind::Draining, "this proxy is stopping"});
            }
            auto opened = engine_.callerOpened(key, database, identity, evloop::bootTimeNow());
            handlers_.perform();
            return opened;
        };
        handlers.statement = [this, key](const relay::SessionStatement &statement) {
            engine_.callerStatement(key, statement, evloop::bootTimeNow());
            handlers_.perform();
        };
        handlers.closed = [this, key] {
            if (const auto caller = callers_.find(key); caller != callers_.end()) {
                const auto connection = caller->second;
                callers_.erase(caller);
                keepWhileSending(connection);
            }
            engine_.callerClosed(key, evloop::bootTimeNow());
            handlers_.perform();
            handlers_.ended();
        };
        return handlers;
    }

    bool adopt(relay::CallerKey key, const relay::CallerSession &session)
    {
        const bool adopted = static_cast<bool>(engine_.callerAdopted(key, session, evloop::bootTimeNow()));
        handlers_.log(LogLevel::Warning,
                      "session_taken_over",
                      {{"database", session.database().text()}, {"adopted", static_cast<std::int64_t>(adopted ? 1 : 0)}});
        metrics_.sessionMoved("taken_over");
        handlers_.perform();
        return adopted;
    }

    boost::asio::io_context &loop_;
    relay::Engine &engine_;
    SessionPlacement &placement_;
    ProxyMetrics &metrics_;
    CallerConnectionsHandlers handlers_;
    std::unordered_map<relay::CallerKey, std::shared_ptr<Caller>> callers_;
    /// Connections that were closed while the process stops, until their output was sent.
    std::vector<std::shared_ptr<Caller>> sending_;
    relay::CallerKey nextKey_ = 1;
    Random random_;
    /// While the process stops, when the transactions of forwarded sessions are ended.
    TimePoint transactionsUntil_;
};

} // namespace cardamomstep::gateway
