// Connects once to find out.
#include "peer/impl/refusal.h"

#include "http/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace cardamomstep::peer::impl {

using Tcp = boost::asio::ip::tcp;

bool refusesConnections(const Address &peer, Milliseconds timeout)
{
    const auto endpoint = http::parseAddress(peer);
    boost::system::error_code error;
    const auto ip = endpoint ? boost::asio::ip::make_address(endpoint->ip, error) : boost::asio::ip::address{};
    if (!endpoint || error) {
        return false;
    }
    boost::asio::io_context context;
    Tcp::socket socket(context);
    boost::system::error_code result;
    socket.async_connect(Tcp::endpoint(ip, endpoint->port), [&result](const boost::system::error_code &connected) { result = connected; });
    context.run_for(timeout);
    return result == boost::asio::error::connection_refused;
}

} // namespace cardamomstep::peer::impl
