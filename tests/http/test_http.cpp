// Tests of the HTTP server and of the client connection, which never resends a request.
#include "http/address.h"
#include "http/connection.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <atomic>
#include <thread>

using namespace cardamomstep;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr Milliseconds timeout{5000};

Result<std::unique_ptr<http::Server>> startEchoServer(const char *address, std::size_t maxBodyBytes)
{
    return http::Server::start({.listen = Address{address}, .maxBodyBytes = maxBodyBytes}, [](const http::Request &request) {
        return http::Response{200,
                              {{"x-echo", request.header("x-question")}},
                              request.method + " " + request.path + " " + request.parameter("a b") + " " + request.body};
    });
}

// Replies to the first request on a connection and closes the connection after reading the second.
// A second connection counts as a request, too.
class ClosingServer
{
public:
    ClosingServer()
        : acceptor_(context_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , thread_([this] { serve(); })
    {
    }
    ~ClosingServer()
    {
        thread_.join();
    }
    Address address() const
    {
        return Address{"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())};
    }
    int requests() const
    {
        return requests_;
    }

private:
    void serve()
    {
        Tcp::socket socket(context_);
        acceptor_.accept(socket);
        boost::asio::streambuf buffer;
        boost::asio::read_until(socket, buffer, "\r\n\r\n");
        ++requests_;
        boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
        buffer.consume(buffer.size());
        boost::asio::read_until(socket, buffer, "\r\n\r\n");
        ++requests_;
        socket.close();
        acceptor_.non_blocking(true);
        std::this_thread::sleep_for(Milliseconds{100});
        boost::system::error_code acceptError;
        Tcp::socket second(context_);
        acceptor_.accept(second, acceptError);
        requests_ += acceptError ? 0 : 1;
    }
    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
    std::atomic<int> requests_{0};
    std::thread thread_;
};

// Replies to one request in pieces, with a pause after each.
class SlowServer
{
public:
    SlowServer(std::string body, std::size_t pieceBytes, Milliseconds pause)
        : response_("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)
        , pieceBytes_(pieceBytes)
        , pause_(pause)
        , acceptor_(context_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , thread_([this] { serve(); })
    {
    }
    ~SlowServer()
    {
        thread_.join();
    }
    Address address() const
    {
        return Address{"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())};
    }

private:
    void serve()
    {
        Tcp::socket socket(context_);
        acceptor_.accept(socket);
        boost::asio::streambuf buffer;
        boost::asio::read_until(socket, buffer, "\r\n\r\n");
        boost::system::error_code closed;
        while (!response_.empty() && !closed) {
            boost::asio::write(socket, boost::asio::buffer(response_.substr(0, pieceBytes_)), closed);
            response_.erase(0, pieceBytes_);
            std::this_thread::sleep_for(pause_);
        }
    }

    std::string response_;
    std::size_t pieceBytes_;
    Milliseconds pause_;
    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace

Test(http, requestAndResponseArriveComplete)
{
    auto server = startEchoServer("127.0.0.1:18101", 1000000);
    cr_assert(bool(server));
    http::Connection connection{Address{"127.0.0.1:18101"}};
    const std::string large(300000, 'x');
    const auto result = connection.exchange({"POST", "/v1/a", {{"a b", "c&d"}}, {{"x-question", "why"}}, large}, timeout);
    cr_assert(result.response.has_value());
    cr_assert(result.response->body == "POST /v1/a c&d " + large);
    cr_assert(result.response->headers.at("x-echo") == "why");
    cr_assert(connection.isOpen());
}

Test(http, oversizedBodyIsRejected)
{
    auto server = startEchoServer("127.0.0.1:18102", 1000);
    http::Connection connection{Address{"127.0.0.1:18102"}};
    const auto result = connection.exchange({"POST", "/", {}, {}, std::string(2000, 'x')}, timeout);
    cr_assert(result.response.has_value());
    cr_assert(result.response->status == 413);
}

Test(http, refusedConnectionIsReportedAsNotSent)
{
    http::Connection connection{Address{"127.0.0.1:18103"}};
    const auto result = connection.exchange({"GET", "/", {}, {}, ""}, timeout);
    cr_assert(!result.response.has_value());
    cr_assert(result.failure.stage == http::ExchangeStage::NotSent);
    cr_assert(result.failure.refused);
}

Test(http, requestOnBrokenKeepAliveConnectionIsNotResent)
{
    ClosingServer server;
    http::Connection connection{server.address()};
    cr_assert(connection.exchange({"GET", "/1", {}, {}, ""}, timeout).response.has_value());
    const auto second = connection.exchange({"GET", "/2", {}, {}, ""}, timeout);
    cr_assert(!second.response.has_value());
    cr_assert(second.failure.stage == http::ExchangeStage::Sent);
    std::this_thread::sleep_for(Milliseconds{200});
    cr_assert(server.requests() == 2);
}

Test(http, connectionClosedByTheServerIsNotUsed)
{
    boost::asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    http::Connection connection{Address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())}};
    cr_assert(bool(connection.connect(timeout)));
    cr_assert(connection.checkOpen());
    Tcp::socket(acceptor.accept()).close();
    while (connection.checkOpen()) {
        std::this_thread::yield();
    }
    acceptor.close();
    const auto result = connection.exchange({"POST", "/", {}, {}, ""}, timeout);
    cr_assert(result.failure.stage == http::ExchangeStage::NotSent);
    cr_assert(result.failure.refused);
}

Test(http, silentServerTimesOut)
{
    boost::asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    http::Connection connection{Address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())}};
    const auto result = connection.exchange({"GET", "/", {}, {}, ""}, Milliseconds{50});
    cr_assert(!result.response.has_value());
    cr_assert(result.failure.timedOut);
    cr_assert(result.failure.stage == http::ExchangeStage::Sent);
    cr_assert(!connection.isOpen());
}

Test(http, malformedAddressesAreRejected)
{
    cr_assert(bool(http::parseAddress(Address{"10.0.0.1:80"})));
    for (const char *text : {"", "10.0.0.1", ":80", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:8x", "host.example:80"}) {
        cr_assert(!http::parseAddress(Address{text}), "accepted %s", text);
    }
}

// A listing of all records took longer than a call's timeout on a slow link, and was begun anew each time (same class as incident inc2).
Test(http, aResponseThatIsArrivingOutlivesTheTimeout)
{
    const std::string body(2'000, 'x');
    constexpr std::size_t pieceBytes = 200;
    constexpr Milliseconds shortTimeout{60};
    SlowServer server(body, pieceBytes, Milliseconds{20});
    http::Connection connection(server.address());
    const auto result = connection.exchange({"GET", "/", {}, {}, {}}, shortTimeout, timeout);
    cr_assert(result.response && result.response->body == body);
}

// An endpoint's reply must not outlast its statement, however steadily it arrives.
Test(http, withoutAStallTimeoutTheTimeoutCoversTheWholeResponse)
{
    constexpr std::size_t pieceBytes = 200;
    SlowServer server(std::string(2'000, 'x'), pieceBytes, Milliseconds{20});
    http::Connection connection(server.address());
    const auto result = connection.exchange({"GET", "/", {}, {}, {}}, Milliseconds{60});
    cr_assert(!result.response && result.failure.timedOut);
}
