// Tests of the client for calls between proxies, over loopback sockets.
#include "peer/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <thread>

using namespace cardamomstep;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr Milliseconds pingTimeout{300};

Address addressOf(const Tcp::acceptor &acceptor)
{
    return Address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
}

/// A process that listens but closes each connection at once, as one without free descriptors does.
class ClosingListener
{
public:
    ClosingListener()
        : acceptor_(context_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }
    ~ClosingListener()
    {
        context_.stop();
        thread_.join();
    }

    [[nodiscard]] Address address() const
    {
        return addressOf(acceptor_);
    }

private:
    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, Tcp::socket socket) {
            if (!error) {
                socket.close();
                accept();
            }
        });
    }

    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
    std::thread thread_;
};

peer::Failure failureOf(const Address &address)
{
    peer::Client client(peer::Credentials{});
    const auto result = client.ping(address, {}, pingTimeout);
    cr_assert(std::holds_alternative<peer::Failure>(result));
    return std::get<peer::Failure>(result);
}

} // namespace

Test(peer, anAddressWithoutAListenerRefuses)
{
    boost::asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const auto address = addressOf(acceptor);
    acceptor.close();
    const auto failure = failureOf(address);
    cr_assert(failure.notSent);
    cr_assert(failure.refused);
}

// A live proxy whose connections break was reported as refusing, so it was suspected without asking others, as if its process were down.
Test(peer, aListenerThatClosesConnectionsDoesNotRefuse)
{
    const ClosingListener listener;
    const auto failure = failureOf(listener.address());
    cr_assert(failure.notSent);
    cr_assert(!failure.refused);
}
