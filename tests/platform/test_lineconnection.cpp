// Tests of the limits of a line connection, over a loopback socket.
#include "evloop/lineconnection.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace cardamomstep;
namespace asio = boost::asio;
using asio::ip::tcp;

// Each further line for a peer that does not read was reported as another close; only the guards of its present owners made that harmless.
Test(platform, aConnectionReportsItsCloseOnce)
{
    asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket peer(loop);
    peer.connect(acceptor.local_endpoint());
    evloop::LineLimits limits;
    limits.maxUnsentBytes = 10;
    const auto connection = std::make_shared<evloop::LineConnection>(acceptor.accept(), limits);
    std::vector<evloop::CloseReason> reasons;
    connection->start([](std::string_view) {}, [&reasons](evloop::CloseReason reason) { reasons.push_back(reason); });
    for (int line = 0; line < 3; ++line) {
        connection->send(std::string(20, 'x'));
    }
    peer.close();
    loop.run_for(Milliseconds{200});
    cr_assert(reasons.size() == 1, "%zu reports", reasons.size());
    cr_assert(reasons.front() == evloop::CloseReason::NotReading);
}

namespace {

/// Returns the lines that a connection delivers when \a bytes arrive in pieces of \a pieceBytes.
std::vector<std::string> linesOf(const std::string &bytes, std::size_t pieceBytes)
{
    asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket peer(loop);
    peer.connect(acceptor.local_endpoint());
    peer.set_option(tcp::no_delay(true));
    const auto connection = std::make_shared<evloop::LineConnection>(acceptor.accept(), evloop::LineLimits{});
    std::vector<std::string> lines;
    connection->start([&lines](std::string_view line) { lines.emplace_back(line); }, [](evloop::CloseReason) {});
    for (std::size_t sent = 0; sent < bytes.size(); sent += pieceBytes) {
        asio::write(peer, asio::buffer(bytes.substr(sent, pieceBytes)));
        // Each piece is received before the next one is sent.
        loop.restart();
        loop.run_one_for(Milliseconds{200});
    }
    return lines;
}

} // namespace

// A line feed inside a line ended it, so that its rest was read as another statement, which no caller had sent.
Test(platform, onlyACarriageReturnWithALineFeedEndsALine)
{
    const std::string bytes = "QUERY b0 WRITE note paid\nQUERY x0 WRITE salary 9999\r\nQUERY b1 READ a\rb\r\r\n\r\n\n\r\nlast\r\n\r";
    const std::vector<std::string> expected{
        "QUERY b0 WRITE note paid\nQUERY x0 WRITE salary 9999", "QUERY b1 READ a\rb\r", "", "\n", "last"};
    for (const std::size_t pieceBytes : {std::size_t{1}, std::size_t{2}, std::size_t{3}, std::size_t{7}, std::size_t{26}, bytes.size()}) {
        const auto lines = linesOf(bytes, pieceBytes);
        cr_assert(lines == expected, "%zu lines in pieces of %zu bytes", lines.size(), pieceBytes);
    }
}
