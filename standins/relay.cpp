// Forwards TCP bytes through a queue that holds each chunk until its time.
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

/// What the relay does to bytes now; used on the relay's thread only.
struct LinkState {
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

class Link;

/// One direction of a link; keeps the link alive through its pending operations.
class Direction
{
public:
    Direction(Link &link, Tcp::socket &from, Tcp::socket &to, LinkState &state)
        : link_(link)
        , from_(from)
        , to_(to)
        , state_(state)
        , timer_(from.get_executor())
    {
    }

    void read();
    /// Goes on with what waits, after a change of the faults.
    void resume();

private:
    struct Chunk {
        Clock::time_point due;
        std::vector<char> bytes;
    };

    void arrived(std::size_t count);
    void send();
    void write();

    Link &link_;
    Tcp::socket &from_;
    Tcp::socket &to_;
    LinkState &state_;
    boost::asio::steady_timer timer_;
    std::array<char, chunkBytes> buffer_{};
    /// Due times never fall, so bytes keep their order.
    std::deque<Chunk> chunks_;
    bool sending_ = false;
    bool ended_ = false;
};

/// Two sockets joined by the relay.
class Link : public std::enable_shared_from_this<Link>
{
public:
    Link(Tcp::socket near, LinkState &state)
        : near_(std::move(near))
        , far_(near_.get_executor())
        , state_(state)
        , up_(*this, near_, far_, state)
        , down_(*this, far_, near_, state)
    {
    }

    void start(const Tcp::endpoint &target)
    {
        error_code ignored;
        near_.set_option(Tcp::no_delay(true), ignored);
        far_.async_connect(target, [self = shared_from_this()](error_code failed) {
            if (failed) {
                self->close();
                return;
            }
            error_code ignoredToo;
            self->far_.set_option(Tcp::no_delay(true), ignoredToo);
            self->up_.read();
            self->down_.read();
        });
    }

    void close()
    {
        error_code ignored;
        near_.close(ignored);
        far_.close(ignored);
    }

    void silence() noexcept
    {
        silent_ = true;
    }

    /// True when no byte may move on this link now.
    [[nodiscard]] bool isHeld() const noexcept
    {
        return silent_ || state_.frozen;
    }

    void resume()
    {
        up_.resume();
        down_.resume();
    }

private:
    Tcp::socket near_;
    Tcp::socket far_;
    LinkState &state_;
    Direction up_;
    Direction down_;
    bool silent_ = false;
};

void Direction::read()
{
    from_.async_read_some(boost::asio::buffer(buffer_), [this, keep = link_.shared_from_this()](error_code failed, std::size_t count) {
        if (failed) {
            ended_ = true;
            send();
            return;
        }
        arrived(count);
        read();
    });
}

void Direction::arrived(std::size_t count)
{
    auto due = Clock::now() + state_.drawDelay();
    if (!chunks_.empty()) {
        due = std::max(due, chunks_.back().due);
    }
    chunks_.push_back({due, {buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(count)}});
    send();
}

void Direction::send()
{
    if (sending_ || link_.isHeld()) {
        return;
    }
    if (chunks_.empty()) {
        if (ended_) {
            link_.close();
        }
        return;
    }
    sending_ = true;
    timer_.expires_at(chunks_.front().due);
    timer_.async_wait([this, keep = link_.shared_from_this()](error_code /*failed*/) {
        sending_ = false;
        if (!link_.isHeld()) {
            write();
        }
    });
}

void Direction::write()
{
    sending_ = true;
    boost::asio::async_write(
        to_, boost::asio::buffer(chunks_.front().bytes), [this, keep = link_.shared_from_this()](error_code failed, std::size_t /*count*/) {
            sending_ = false;
            chunks_.pop_front();
            if (failed) {
                link_.close();
                return;
            }
            send();
        });
}

void Direction::resume()
{
    send();
}

/// Accepts and keeps the links; its private parts run on the relay's thread only.
class LinkTable
{
public:
    explicit LinkTable(const RelayOptions &options)
        : listen_(endpointOf(options.listen))
        , target_(endpointOf(options.target))
        , acceptor_(context_)
    {
    }

    /// Listens; false when the address cannot be bound.
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
        auto answer = done.get_future();
        boost::asio::post(context_, [this, &change, &done] {
            apply(change);
            done.set_value(stateJson());
        });
        return {ok, {}, answer.get().dump()};
    }

private:
    void accept()
    {
        acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) {
                return;
            }
            const auto link = std::make_shared<Link>(std::move(socket), state_);
            forgetEnded();
            links_.push_back(link);
            link->start(target_);
            accept();
        });
    }

    void apply(const Json &change)
    {
        state_.delay = DoubleMilliseconds{change.value("delayMs", state_.delay.count())};
        state_.jitter = DoubleMilliseconds{change.value("jitterMs", state_.jitter.count())};
        state_.frozen = change.value("freeze", state_.frozen);
        if (change.contains("seed")) {
            state_.random = Random{change["seed"].get<std::uint64_t>()};
        }
        if (change.value("silentOpen", false)) {
            forEachLink([](Link &link) { link.silence(); });
        }
        setCut(change.value("cut", state_.cut));
        forEachLink([](Link &link) { link.resume(); });
    }

    void setCut(bool cut)
    {
        if (cut == state_.cut) {
            return;
        }
        state_.cut = cut;
        if (!cut) {
            listen();
            return;
        }
        error_code ignored;
        acceptor_.close(ignored);
        forEachLink([](Link &link) { link.close(); });
    }

    template<typename Action>
    void forEachLink(Action action)
    {
        for (const auto &known : links_) {
            if (const auto link = known.lock()) {
                action(*link);
            }
        }
    }

    void forgetEnded()
    {
        links_.erase(std::remove_if(links_.begin(), links_.end(), [](const auto &link) { return link.expired(); }), links_.end());
    }

    [[nodiscard]] Json stateJson()
    {
        forgetEnded();
        return {{"links", links_.size()},
                {"cut", state_.cut},
                {"freeze", state_.frozen},
                {"delayMs", state_.delay.count()},
                {"jitterMs", state_.jitter.count()}};
    }

    Tcp::endpoint listen_;
    Tcp::endpoint target_;
    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
    LinkState state_;
    std::vector<std::weak_ptr<Link>> links_;
};

} // namespace

Relay::Relay(RelayOptions options)
    : options_(std::move(options))
{
}

void Relay::run()
{
    LinkTable links(options_);
    const auto server =
        http::Server::start({.listen = options_.control}, [&links](const http::Request &request) { return links.control(request); });
    if (!server) {
        std::cerr << server.error() << "\n";
        return;
    }
    if (links.listen()) {
        links.run();
    }
}

} // namespace cardamomstep::standins
