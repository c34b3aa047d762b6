// Tests of sessions that are passed on to another proxy, over loopback sockets.
#include "gateway/callerconnection.h"
#include "platform/lineprotocol.h"

#include <criterion/criterion.h>

#include <string>

using namespace cardamomstep;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Milliseconds statementTimeout{40};

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
        handlers.statement = [this](const relay::SessionStatement &statement) {
            runHere.push_back(statement.id);
        };
        handlers.closed = [] {
        };
        handlers.forward = [this, address](const relay::DatabaseName &) {
            return reachable ? std::optional(gateway::ForwardTarget{address, statementTimeout}) : std::nullopt;
        };
        handlers.adopted = [this](const relay::CallerSession &session) {
            adopted = session;
            return true;
        };
        handlers.forwardFailed = [this](const Address &) {
            ++failures;
        };
        handlers.endedForTarget = [this](const Address &) {
            ++sentOn;
        };
        link = std::make_shared<Link>(loop, std::move(accepted), std::move(handlers));
        link->start();
    }

    /// Opens a session that the other proxy takes.
    void open()
    {
        asio::write(caller, asio::buffer(std::string("START db who\r\n")));
        turn();
        proxy.accept(upstream);
        (void)readLine(upstream);
        asio::write(upstream, asio::buffer(std::string("READY I -\r\n")));
        turn();
        (void)readLine(caller);
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
    int sentOn = 0;
    bool reachable = true;
    std::shared_ptr<Link> link;
    std::optional<relay::CallerSession> adopted;
    std::vector<std::string> runHere;
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

// Seen on convenio-cantabrico-grown trouble-3: the proxy that held the connections was cut off, and callers waited for it until their own
// deadlines passed.
Test(platform, aReadWhoseProxyFallsSilentRunsHere)
{
    Forwarding forwarding;
    forwarding.open();
    asio::write(forwarding.caller, asio::buffer(std::string("QUERY r1 READ a\r\n")));
    forwarding.turn();
    cr_assert(forwarding.runHere.empty(), "not before its time is over");
    for (int turn = 0; turn < 5 && forwarding.runHere.empty(); ++turn) {
        forwarding.turn();
    }
    cr_assert(forwarding.runHere == std::vector<std::string>{"r1"});
    cr_assert(forwarding.adopted && forwarding.failures == 1);
}

Test(platform, aWriteWhoseProxyIsLostIsToldAsUnknown)
{
    Forwarding forwarding;
    forwarding.open();
    asio::write(forwarding.caller, asio::buffer(std::string("QUERY w1 WRITE a 1\r\n")));
    forwarding.turn();
    forwarding.upstream.close();
    forwarding.turn();
    const auto error = Forwarding::readLine(forwarding.caller);
    cr_assert(error.starts_with("ERROR ") && error.find("MALFORMED") == std::string::npos, "%s", error.c_str());
    cr_assert(forwarding.runHere.empty() && forwarding.adopted);
}

// Seen on convenio-cantabrico-grown trouble-3: sessions that were served away from the connections while a proxy was cut off stayed there.
Test(platform, aSessionGoesBackToItsProxyWhenItRests)
{
    Forwarding forwarding;
    forwarding.reachable = false;
    asio::write(forwarding.caller, asio::buffer(std::string("START db who\r\n")));
    forwarding.turn();
    (void)Forwarding::readLine(forwarding.caller);
    cr_assert(forwarding.openedHere == 1);
    relay::CallerReply reply;
    forwarding.link->reply(reply);
    cr_assert(forwarding.sentOn == 0, "nowhere to go yet");
    forwarding.reachable = true;
    reply.state = relay::SessionState::InTransaction;
    forwarding.link->reply(reply);
    cr_assert(forwarding.sentOn == 0, "not inside a transaction");
    reply.state = relay::SessionState::Idle;
    forwarding.link->reply(reply);
    cr_assert(forwarding.sentOn == 1);
}

// Seen on convenio-cantabrico trouble-3: sessions were sent on right after their set-up, and the statement that followed was cut.
Test(platform, aSessionThatWasJustSetUpStaysForItsStatement)
{
    Forwarding forwarding;
    forwarding.reachable = false;
    asio::write(forwarding.caller, asio::buffer(std::string("START db who\r\n")));
    forwarding.turn();
    (void)Forwarding::readLine(forwarding.caller);
    asio::write(forwarding.caller, asio::buffer(std::string("QUERY s1 SET zone 1\r\n")));
    forwarding.turn();
    forwarding.reachable = true;
    const relay::CallerReply reply;
    forwarding.link->reply(reply);
    cr_assert(forwarding.sentOn == 0, "its statement is on its way");
    asio::write(forwarding.caller, asio::buffer(std::string("QUERY r1 READ a\r\n")));
    forwarding.turn();
    cr_assert(forwarding.runHere == (std::vector<std::string>{"s1", "r1"}));
    forwarding.link->reply(reply);
    cr_assert(forwarding.sentOn == 1);
}

Test(platform, aStopEndsNoForwardedSessionBetweenItsSetUpAndItsStatement)
{
    Forwarding forwarding;
    forwarding.open();
    asio::write(forwarding.caller, asio::buffer(std::string("QUERY s1 SET zone 1\r\n")));
    forwarding.turn();
    (void)Forwarding::readLine(forwarding.upstream);
    asio::write(forwarding.upstream, asio::buffer(std::string("COMPLETE -\r\nREADY I -\r\n")));
    forwarding.turn();
    cr_assert(!forwarding.link->endWhenResting(), "its statement is on its way");
    asio::write(forwarding.caller, asio::buffer(std::string("QUERY r1 READ a\r\n")));
    forwarding.turn();
    cr_assert(Forwarding::readLine(forwarding.upstream) == "QUERY r1 READ a\r\n");
}
