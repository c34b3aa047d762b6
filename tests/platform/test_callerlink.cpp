// Tests of sessions that are passed on to another proxy, over loopback sockets.
#include "gateway/callerlink.h"
#include "platform/lineprotocol.h"

#include <criterion/criterion.h>

#include <string>

using namespace cardamomstep;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using Link = gateway::CallerLink<platform::LineProtocol>;

/// A caller's link whose sessions are passed on to a proxy that is played by the test.
struct Forwarding {
    Forwarding()
        : callers(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , proxy(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , caller(loop)
        , upstream(loop)
    {
        caller.connect(callers.local_endpoint());
        tcp::socket accepted(loop);
        callers.accept(accepted);
        const Address address{"127.0.0.1:" + std::to_string(proxy.local_endpoint().port())};
        gateway::CallerLinkHandlers handlers;
        handlers.opened = [this](const relay::DatabaseName &) {
            ++openedHere;
            return Result<Success>(Success{});
        };
        handlers.statement = [](const relay::SessionStatement &) {
        };
        handlers.closed = [] {
        };
        handlers.forward = [address](const relay::DatabaseName &) {
            return std::optional<Address>(address);
        };
        handlers.forwardFailed = [this](const Address &) {
            ++failures;
        };
        std::make_shared<Link>(loop, std::move(accepted), std::move(handlers))->start();
    }

    void turn()
    {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(50));
    }

    static std::string readLine(tcp::socket &socket)
    {
        std::string line;
        asio::read_until(socket, asio::dynamic_buffer(line), '\n');
        return line;
    }

    asio::io_context loop;
    tcp::acceptor callers;
    tcp::acceptor proxy;
    tcp::socket caller;
    tcp::socket upstream;
    int openedHere = 0;
    int failures = 0;
};

} // namespace

Test(platform, sessionsArePassedOnUnchanged)
{
    Forwarding forwarding;
    asio::write(forwarding.caller, asio::buffer(std::string("START db who\r\n")));
    forwarding.turn();
    forwarding.proxy.accept(forwarding.upstream);
    cr_assert(Forwarding::readLine(forwarding.upstream) == "START db who\r\n");
    asio::write(forwarding.upstream, asio::buffer(std::string("READY I -\r\n")));
    forwarding.turn();
    cr_assert(Forwarding::readLine(forwarding.caller) == "READY I -\r\n");
    cr_assert(forwarding.openedHere == 0);
}

// Seen on convenio-cantabrico-grown trouble-1: the proxy that held the connections was cut off from the store and refused a database that
// had been added, which its neighbours knew.
Test(platform, aSessionThatAnotherProxyRefusesIsServedHere)
{
    Forwarding forwarding;
    asio::write(forwarding.caller, asio::buffer(std::string("START db who\r\n")));
    forwarding.turn();
    forwarding.proxy.accept(forwarding.upstream);
    asio::write(forwarding.upstream, asio::buffer(std::string("ERROR NODB db\r\n")));
    forwarding.turn();
    cr_assert(Forwarding::readLine(forwarding.caller) == "READY I -\r\n");
    cr_assert(forwarding.openedHere == 1 && forwarding.failures == 1);
}

Test(platform, aSessionWhoseProxyIsGoneIsServedHere)
{
    Forwarding forwarding;
    forwarding.proxy.close();
    asio::write(forwarding.caller, asio::buffer(std::string("START db who\r\n")));
    forwarding.turn();
    forwarding.turn();
    cr_assert(Forwarding::readLine(forwarding.caller) == "READY I -\r\n");
    cr_assert(forwarding.openedHere == 1);
}
