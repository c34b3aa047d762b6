// Tests of the object store's client over a loopback socket.
#include "platform/objectstore.h"

#include <criterion/criterion.h>

#include <deque>
#include <istream>
#include <optional>
#include <string>
#include <vector>

using namespace cardamomstep;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A store that accepts one connection and sends its responses, one for each request, in pieces with pauses between them.
class SlowStore
{
public:
    SlowStore(asio::io_context &loop, std::deque<std::string> bodies, std::size_t pieceBytes, Milliseconds pause)
        : acceptor_(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , socket_(loop)
        , timer_(loop)
        , bodies_(std::move(bodies))
        , pieceBytes_(pieceBytes)
        , pause_(pause)
    {
        acceptor_.async_accept(socket_, [this](const boost::system::error_code &) { readRequest(); });
    }

    [[nodiscard]] Address address() const
    {
        return Address{"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())};
    }

    /// The first line of each request.
    std::vector<std::string> requests;

private:
    void readRequest()
    {
        asio::async_read_until(socket_, request_, "\r\n\r\n", [this](const boost::system::error_code &error, std::size_t) {
            if (error || bodies_.empty()) {
                return;
            }
            std::istream text(&request_);
            std::string line;
            std::getline(text, line);
            requests.push_back(line);
            request_.consume(request_.size());
            const auto body = bodies_.front();
            bodies_.pop_front();
            response_ = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            sendPiece();
        });
    }

    void sendPiece()
    {
        const auto piece = response_.substr(0, pieceBytes_);
        response_.erase(0, piece.size());
        asio::write(socket_, asio::buffer(piece));
        if (response_.empty()) {
            readRequest();
            return;
        }
        timer_.expires_after(pause_);
        timer_.async_wait([this](const boost::system::error_code &) { sendPiece(); });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    asio::streambuf request_;
    std::deque<std::string> bodies_;
    std::string response_;
    std::size_t pieceBytes_;
    Milliseconds pause_;
};

/// Lists all members' entries in \a store.
Result<StoreListing> listMembers(asio::io_context &loop, const SlowStore &server, Milliseconds timeout)
{
    platform::ObjectStore store(loop, server.address(), std::make_shared<StoreEpochs>());
    std::optional<Result<StoreListing>> listed;
    store.list(ObjectKind{platform::ObjectStore::memberKind}, timeout, [&](const Result<StoreListing> &listing) {
        listed = listing;
        loop.stop();
    });
    loop.run();
    cr_assert(listed.has_value());
    return *listed;
}

} // namespace

// A call was cut at its timeout although its reply was arriving: on a slow link a large listing or configuration never came through, and
// a proxy that started there never became ready (same class as incident inc2).
Test(platform, aListingThatArrivesSlowlyIsNotCutAtItsTimeout)
{
    asio::io_context loop;
    const std::string body = R"({"items":[],"more":false,"asOf":17)" + std::string(2'000, ' ') + "}";
    constexpr std::size_t pieceBytes = 200;
    SlowStore server(loop, {body}, pieceBytes, Milliseconds{20});
    const auto listing = listMembers(loop, server, Milliseconds{60});
    cr_assert(static_cast<bool>(listing));
    cr_assert(listing->revision.value == 17);
}

// A page without any readable object ended the listing: members on later pages counted as gone and were no longer used.
Test(platform, aPageWithoutReadableObjectsDoesNotEndTheListing)
{
    asio::io_context loop;
    const std::string unreadable = R"({"items":[{"meta":{"name":"a"}},{"meta":{"name":"b","revision":"x"}}],"more":true,"asOf":17})";
    const std::string readable = R"({"items":[{"meta":{"name":"c","revision":4},"spec":{}}],"more":false,"asOf":16})";
    SlowStore server(loop, {unreadable, readable}, unreadable.size() * 2, Milliseconds{1});
    const auto listing = listMembers(loop, server, Milliseconds{5'000});
    cr_assert(static_cast<bool>(listing));
    cr_assert(listing->objects.size() == 1 && listing->objects.front().name == ObjectName{"c"});
    cr_assert(listing->revision.value == 16, "changes between the pages are watched from the older one");
    cr_assert(server.requests.at(1).find("?after=b ") != std::string::npos, "%s", server.requests.at(1).c_str());
}

// Without a name to go on from, the rest of the listing is unknown; taken as complete, it would show members as gone.
Test(platform, aListingThatCannotBeContinuedFails)
{
    asio::io_context loop;
    SlowStore server(loop, {R"({"items":[{"odd":1}],"more":true,"asOf":17})"}, 1'000, Milliseconds{1});
    const auto listing = listMembers(loop, server, Milliseconds{5'000});
    cr_assert(!listing);
    cr_assert(listing.error().kind == ErrorKind::CorruptAnswer);
}

// Another writer may choose any name; one with a blank, last on a page, made the request for the next page invalid.
Test(platform, thePageAfterAnyNameIsRequested)
{
    asio::io_context loop;
    const std::string page = R"({"items":[{"meta":{"name":"m 9&after=/x","revision":4},"spec":null}],"more":true,"asOf":9})";
    SlowStore server(loop, {page, R"({"items":[],"more":false,"asOf":9})"}, page.size() * 2, Milliseconds{1});
    const auto listing = listMembers(loop, server, Milliseconds{5'000});
    cr_assert(listing && listing->objects.size() == 1);
    cr_assert(server.requests.at(1).starts_with("GET /v1/objects/servers?after=m%209%26after%3D%2Fx HTTP/1.1"));
}
