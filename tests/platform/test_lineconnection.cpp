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
