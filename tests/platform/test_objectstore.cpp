// Tests of the object store's client over a loopback socket.
#include "platform/objectstore.h"

#include <criterion/criterion.h>

#include <string>

using namespace cardamomstep;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A store that accepts one connection, reads one request and sends its response in pieces with pauses between them.
class SlowStore
{
public:
    SlowStore(asio::io_context &loop, std::string response, std::size_t pieceBytes, Milliseconds pause)
        : acceptor_(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , socket_(loop)
        , timer_(loop)
        , response_(std::move(response))
        , pieceBytes_(pieceBytes)
        , pause_(pause)
    {
        acceptor_.async_accept(socket_, [this](const boost::system::error_code &) {
            asio::async_read_until(socket_, request_, "\r\n\r\n", [this](const boost::system::error_code &, std::size_t) { sendPiece(); });
        });
    }

    [[nodiscard]] Address address() const
    {
        return Address{"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())};
    }

private:
    void sendPiece()
    {
        const auto piece = response_.substr(0, pieceBytes_);
        response_.erase(0, piece.size());
        asio::write(socket_, asio::buffer(piece));
        if (response_.empty()) {
            return;
        }
        timer_.expires_after(pause_);
        timer_.async_wait([this](const boost::system::error_code &) { sendPiece(); });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    asio::streambuf request_;
    std::string response_;
    std::size_t pieceBytes_;
    Milliseconds pause_;
};

} // namespace

// A call was cut at its timeout although its reply was arriving: on a slow link a large listing or configuration never came through, and
// a proxy that started there never became ready (same class as incident inc2).
Test(platform, aListingThatArrivesSlowlyIsNotCutAtItsTimeout)
{
    asio::io_context loop;
    const std::string body = R"({"items":[],"more":false,"asOf":17)" + std::string(2'000, ' ') + "}";
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    constexpr std::size_t pieceBytes = 200;
    SlowStore server(loop, response, pieceBytes, Milliseconds{20});
    platform::ObjectStore store(loop, server.address(), std::make_shared<StoreEpochs>());
    std::optional<Result<StoreListing>> listed;
    store.list(ObjectKind{"config"}, Milliseconds{60}, [&](const Result<StoreListing> &listing) {
        listed = listing;
        loop.stop();
    });
    loop.run();
    cr_assert(listed && *listed);
    cr_assert((*listed)->revision.value == 17);
}
