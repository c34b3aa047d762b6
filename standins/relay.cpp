// Forwards TCP bytes through a queue that delays each chunk until it is due.
#include "relay.h"

#include "base/random.h"
#include "http/address.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <future>
#include <iostream>
#include <memory>
#include <set>
#include <vector>

namespace cardamomstep::standins {

namespace {

using Json = nlohmann::json;
using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using DoubleMilliseconds = std::chrono::duration<double, std::milli>;

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr std::size_t chunkBytes = std::size_t{64} << 10U;

Tcp::endpoint endpointOf(const Address &address)
{
    const auto parts = http::parseAddress(address);
    return parts ? Tcp::endpoint{boost::asio::ip::make_address(parts->ip), parts->port} : Tcp::endpoint{};
}

/// The faults in force. Used on the relay's thread only.
struct RelayFaults {
    DoubleMilliseconds delay{0};
    DoubleMilliseconds jitter{0};
    bool cut = false;
    bool frozen = false;
    Random random{1};

    [[nodiscard]] Clock::duration drawDelay()
    {
        const auto jitterMicroseconds = std::chrono::duration_cast<std::chrono::microseconds>(jitter).count();
        const auto extra = std::chrono::microseconds(random.below(static_cast<std::uint64_t>(jitterMicroseconds) + 1));
        return std::chrono::duration_cast<Clock::duration>(delay) + extra;
    }
};

class RelayedConnection;

/// One direction of a relayed connection. Its pending operations keep the connection alive.
class Direction
{
public:
    Direction(RelayedConnection &connection, Tcp::socket &from, Tcp::socket &to, RelayFaults &faults)
        : connection_(connection)
        , from_(from)
        , to_(to)
        , faults_(faults)
        , timer_(from.get_executor())
    {
    }

    void read();
    /// Sends queued chunks that a fault has blocked.
    void resume();

private:
    struct Chunk {
        Clock::time_point due;
        std::vector<char> bytes;
    };

    void enqueue(std::size_t count);
    void send();
    void write();

    RelayedConnection &connection_;
    Tcp::socket &from_;
    Tcp::socket &to_;
    RelayFaults &faults_;
    boost::asio::steady_timer timer_;
    std::array<char, chunkBytes> buffer_{};
    /// Due times never decrease, so bytes stay in order.
    std::deque<Chunk> chunks_;
    bool sending_ = false;
    bool inputEnded_ = false;
};

/// A connection from a client and the one to the target that the relay opens for it.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
    RelayedConnection(Tcp::socket clientSocket, RelayFaults &faults)
        : clientSocket_(std::move(clientSocket))
        , targetSocket_(clientSocket_.get_executor())
        , faults_(faults)
        , toTarget_(*this, clientSocket_, targetSocket_, faults)
        , toClient_(*this, targetSocket_, clientSocket_, faults)
    {
    }

    void start(const Tcp::endpoint &target)
    {
        error_code ignored;
        clientSocket_.set_option(Tcp::no_delay(true), ignored);
        targetSocket_.async_connect(target, [self = shared_from_this()](error_code failed) {
            if (failed) {
                self->close();
                return;
            }
            error_code ignoredToo;
            self->targetSocket_.set_option(Tcp::no_delay(true), ignoredToo);
            self->toTarget_.read();
            self->toClient_.read();
        });
    }

    void close()
    {
        error_code ignored;
        clientSocket_.close(ignored);
        targetSocket_.close(ignored);
    }

    void silence() noexcept
    {
        silent_ = true;
    }

    /// True if no bytes may be forwarded now.
    [[nodiscard]] bool isBlocked() const noexcept
    {
        return silent_ || faults_.frozen;
    }

    void resume()
    {
        toTarget_.resume();
        toClient_.resume();
    }

private:
    Tcp::socket clientSocket_;
    Tcp::socket targetSocket_;
    RelayFaults &faults_;
    Direction toTarget_;
    Direction toClient_;
    bool silent_ = false;
};

void Direction::read()
{
    from_.async_read_some(boost::asio::buffer(buffer_),
                          [this, keepAlive = connection_.shared_from_this()](error_code failed, std::size_t count) {
                              if (failed) {
                                  inputEnded_ = true;
                                  send();
                                  return;
                              }
                              enqueue(count);
                              read();
                          });
}

void Direction::enqueue(std::size_t count)
{
    auto due = Clock::now() + faults_.drawDelay();
    if (!chunks_.empty()) {
        due = std::max(due, chunks_.back().due);
    }
    chunks_.push_back({due, {buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(count)}});
    send();
}

void Direction::send()
{
    if (sending_ || connection_.isBlocked()) {
        return;
    }
    if (chunks_.empty()) {
        if (inputEnded_) {
            connection_.close();
        }
        return;
    }
    sending_ = true;
    timer_.expires_at(chunks_.front().due);
    timer_.async_wait([this, keepAlive = connection_.shared_from_this()](error_code /*failed*/) {
        sending_ = false;
        if (!connection_.isBlocked()) {
            write();
        }
    });
}

void Direction::write()
{
    sending_ = true;
    boost::asio::async_write(to_,
                             boost::asio::buffer(chunks_.front().bytes),
                             [this, keepAlive = connection_.shared_from_this()](error_code failed, std::size_t /*count*/) {
                                 sending_ = false;
                                 chunks_.pop_front();
                                 if (failed) {
                                     connection_.close();
                                     return;
                                 }
                                 send();
                             });
}

void Direction::resume()
{
    send();
}

/// Accepts connections and applies the faults to them; its private members are used on the relay's thread only.
class RelayServer
{
public:
    explicit RelayServer(const RelayOptions &options)
        : listen_(endpointOf(options.listen))
        , target_(endpointOf(options.target))
        , acceptor_(context_)
    {
    }

    /// Starts to listen; returns false if the address cannot be bound.
    bool listen()
    {
        error_code failed;
        acceptor_.open(Tcp::v4(), failed);
        acceptor_.set_option(Tcp::acceptor::reuse_address(true), failed);
        acceptor_.bind(listen_, failed);
        if (!failed) {
            acceptor_.listen(boost::asio::socket_base::max_listen_connections, failed);
        }
        if (failed) {
            std::cerr << "cannot listen on " << listen_ << ": " << failed.message() << "\n";
            return false;
        }
        accept();
        return true;
    }

    void run()
    {
        const auto work = boost::asio::make_work_guard(context_);
        context_.run();
    }

    /// Handles a control request; called from the control server's threads.
    [[nodiscard]] http::Response control(const http::Request &request)
    {
        auto change = request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
        if (!change.is_object()) {
            return {badRequest, {}, R"({"error":"not a JSON object"})"};
        }
        std::promise<Json> done;
        auto appliedState = done.get_future();
        boost::asio::post(context_, [this, &change, &done] {
            apply(change);
            done.set_value(stateJson());
        });
        return {ok, {}, appliedState.get().dump()};
    }

private:
    void accept()
    {
        acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) {
                return;
            }
            const auto connection = std::make_shared<RelayedConnection>(std::move(socket), faults_);
            removeClosed();
            connections_.push_back(connection);
            connection->start(target_);
            accept();
        });
    }

    void apply(const Json &change)
    {
        faults_.delay = DoubleMilliseconds{change.value("delayMs", faults_.delay.count())};
        faults_.jitter = DoubleMilliseconds{change.value("jitterMs", faults_.jitter.count())};
        faults_.frozen = change.value("freeze", faults_.frozen);
        if (change.contains("seed")) {
            faults_.random = Random{change["seed"].get<std::uint64_t>()};
        }
        if (change.value("silentOpen", false)) {
            forEachConnection([](RelayedConnection &connection) { connection.silence(); });
        }
        setCut(change.value("cut", faults_.cut));
        forEachConnection([](RelayedConnection &connection) { connection.resume(); });
    }

    void setCut(bool cut)
    {
        if (cut == faults_.cut) {
            return;
        }
        faults_.cut = cut;
        if (!cut) {
            listen();
            return;
        }
        error_code ignored;
        acceptor_.close(ignored);
        forEachConnection([](RelayedConnection &connection) { connection.close(); });
    }

    template<typename Action>
    void forEachConnection(Action action)
    {
        for (const auto &weakConnection : connections_) {
            if (const auto connection = weakConnection.lock()) {
                action(*connection);
            }
        }
    }

    void removeClosed()
    {
        connections_.erase(
            std::remove_if(connections_.begin(), connections_.end(), [](const auto &connection) { return connection.expired(); }),
            connections_.end());
    }

    [[nodiscard]] Json stateJson()
    {
        removeClosed();
        return {{"links", connections_.size()},
                {"cut", faults_.cut},
                {"freeze", faults_.frozen},
                {"delayMs", faults_.delay.count()},
                {"jitterMs", faults_.jitter.count()}};
    }

    Tcp::endpoint listen_;
    Tcp::endpoint target_;
    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
    RelayFaults faults_;
    std::vector<std::weak_ptr<RelayedConnection>> connections_;
};

} // namespace

Relay::Relay(RelayOptions options)
    : options_(std::move(options))
{
}

void Relay::run()
{
    RelayServer relayServer(options_);
    const auto server = http::Server::start({.listen = options_.control},
                                            [&relayServer](const http::Request &request) { return relayServer.control(request); });
    if (!server) {
        std::cerr << server.error() << "\n";
        return;
    }
    if (relayServer.listen()) {
        relayServer.run();
    }
}

} // namespace cardamomstep::standins
