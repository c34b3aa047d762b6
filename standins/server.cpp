// Blocking Boost.Beast connections, each on its own thread; faults are applied before and after the handler.
#include "server.h"

#include "http/address.h"
#include "http/impl/urltext.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

namespace cardamomstep::standins {

namespace beast = boost::beast;
using Json = nlohmann::json;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::uint64_t maxBodyBytes = std::uint64_t{16} << 20U;
constexpr unsigned httpVersion = 11;
constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int unavailable = 503;

http::Request plainRequest(const beast::http::request<beast::http::string_body> &message)
{
    http::Request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto queryStart = target.find('?');
    request.path = http::impl::decodeUrl(target.substr(0, queryStart));
    if (queryStart != std::string::npos) {
        request.query = http::impl::parseQuery(target.substr(queryStart + 1));
    }
    for (const auto &field : message) {
        request.headers[http::impl::lowerCase(std::string_view(field.name_string().data(), field.name_string().size()))] =
            std::string(field.value());
    }
    request.body = message.body();
    return request;
}

std::string wireText(const http::Response &response)
{
    beast::http::response<beast::http::string_body> message;
    message.version(httpVersion);
    message.result(static_cast<unsigned>(response.status));
    message.set(beast::http::field::content_type, "application/json");
    for (const auto &[name, value] : response.headers) {
        message.set(name, value);
    }
    message.body() = response.body;
    message.prepare_payload();
    std::ostringstream text;
    text << message;
    return text.str();
}

void replaceExchange(http::Response &response)
{
    auto body = Json::parse(response.body);
    body["exchange"] = "another-" + body.value("exchange", std::string());
    response.body = body.dump();
}

void dropLastRow(http::Response &response)
{
    auto body = Json::parse(response.body);
    if (body.contains("rows") && !body["rows"].empty()) {
        body["rows"].erase(body["rows"].size() - 1);
    }
    response.body = body.dump();
}

std::string callKind(const http::Request &request)
{
    constexpr std::size_t kindSegments = 2;
    std::size_t end = 0;
    for (std::size_t segment = 0; segment < kindSegments && end != std::string::npos; ++segment) {
        end = request.path.find('/', end + 1);
    }
    return request.method + " " + request.path.substr(0, end);
}

} // namespace

Reply jsonReply(int status, const Json &body)
{
    return {{status, {}, body.dump()}, false, false};
}

Sender senderOf(const http::Request &request)
{
    const auto text = request.header("x-from");
    const auto slash = text.find('/');
    if (slash == std::string::npos) {
        return {text, {}};
    }
    return {text.substr(0, slash), text.substr(slash + 1)};
}

/// One TCP connection, used by its own thread only.
class Server::Connection
{
public:
    Connection(Server &server, Tcp::socket socket, ConnectionNumber number)
        : server_(server)
        , socket_(std::move(socket))
        , number_(number)
    {
    }

    void serve()
    {
        boost::system::error_code ignored;
        socket_.set_option(Tcp::no_delay(true), ignored);
        while (serveOne()) { }
        socket_.close(ignored);
        if (server_.handlers_.closed) {
            server_.handlers_.closed(number_);
        }
    }

private:
    bool serveOne()
    {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        boost::system::error_code failed;
        beast::http::read(socket_, buffer_, parser, failed);
        if (failed) {
            return false;
        }
        const auto request = plainRequest(parser.get());
        const bool keepAlive = parser.get().keep_alive();
        if (request.path.rfind("/control/", 0) == 0) {
            return write(wireText(server_.control(request).response)) && keepAlive;
        }
        return exchange(request) && keepAlive;
    }

    // Handles one request with the faults applied; returns false if the connection is to be closed.
    bool exchange(const http::Request &request)
    {
        auto &faults = server_.faults_;
        const auto sender = senderOf(request);
        const bool delayed = !server_.handlers_.isDelayed || server_.handlers_.isDelayed(request);
        if (delayed) {
            std::this_thread::sleep_for(faults.drawDelay(sender.domain, faults.domain()));
        }
        if (!applyNetworkFaults(sender)) {
            return false;
        }
        server_.countCall(callKind(request));
        if (faults.outage() == Outage::Refusing) {
            return write(wireText({unavailable, {}, R"({"error":"outage"})"}));
        }
        const auto reply = handle(request);
        if (delayed) {
            std::this_thread::sleep_for(faults.drawDelay(faults.domain(), sender.domain));
        }
        return applyNetworkFaults(sender) && sendReply(reply);
    }

    // Applies freezes, cuts and silence to a message; returns false if the connection is to be closed.
    bool applyNetworkFaults(const Sender &sender)
    {
        auto &faults = server_.faults_;
        faults.waitWhileFrozen();
        const bool isCut = faults.isCut(sender.name);
        if (server_.isSilent(number_) || faults.outage() == Outage::Silent || (isCut && faults.cutsSilently())) {
            discardInput();
            return false;
        }
        return !isCut;
    }

    // Reads and discards input until the peer closes the connection.
    void discardInput()
    {
        std::array<char, 4096> chunk{};
        boost::system::error_code failed;
        while (!failed) {
            socket_.read_some(boost::asio::buffer(chunk), failed);
        }
    }

    Reply handle(const http::Request &request)
    {
        try {
            return server_.handlers_.handle(number_, request);
        } catch (const Json::exception &jsonError) {
            return jsonReply(badRequest, {{"error", jsonError.what()}});
        }
    }

    bool sendReply(Reply reply)
    {
        const auto fault = reply.allowsAnswerFaults ? server_.faults_.consumeAnswerFault(reply.isChange) : AnswerFault::None;
        switch (fault) {
        case AnswerFault::None:
            break;
        case AnswerFault::Lost:
            return false;
        case AnswerFault::Truncated:
            writeTruncated(reply.response);
            return false;
        case AnswerFault::Swapped:
            replaceExchange(reply.response);
            break;
        case AnswerFault::Duplicated:
            return write(wireText(reply.response) + wireText(reply.response));
        case AnswerFault::RowMissing:
            dropLastRow(reply.response);
            break;
        }
        return write(wireText(reply.response));
    }

    void writeTruncated(const http::Response &response)
    {
        const auto text = wireText(response);
        write(text.substr(0, text.size() - response.body.size() / 2 - 1));
    }

    bool write(const std::string &text)
    {
        boost::system::error_code failed;
        boost::asio::write(socket_, boost::asio::buffer(text), failed);
        return !failed;
    }

    Server &server_;
    Tcp::socket socket_;
    ConnectionNumber number_;
    beast::flat_buffer buffer_;
};

Server::Server(const ServerHandlers &handlers, Faults &faults)
    : handlers_(handlers)
    , faults_(faults)
{
}

void Server::run(const Address &address)
{
    const auto endpoint = http::parseAddress(address);
    if (!endpoint) {
        std::cerr << endpoint.error() << "\n";
        return;
    }
    boost::asio::io_context context;
    boost::system::error_code failed;
    Tcp::acceptor acceptor(context);
    acceptor.open(Tcp::v4(), failed);
    acceptor.set_option(Tcp::acceptor::reuse_address(true), failed);
    acceptor.bind({boost::asio::ip::make_address(endpoint->ip), endpoint->port}, failed);
    if (!failed) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        std::cerr << "cannot listen on " << address << ": " << failed.message() << "\n";
        return;
    }
    while (true) {
        Tcp::socket socket(context);
        acceptor.accept(socket, failed);
        if (failed) {
            continue;
        }
        auto connection = std::make_shared<Connection>(*this, std::move(socket), ++lastConnection_);
        std::thread([this, connection] {
            ++openConnections_;
            connection->serve();
            --openConnections_;
        }).detach();
    }
}

void Server::countCall(const std::string &kind)
{
    const std::lock_guard lock(mutex_);
    ++calls_[kind];
}

Reply Server::control(const http::Request &request)
{
    try {
        if (request.path == "/control/faults" && request.method == "POST") {
            const auto change = Json::parse(request.body);
            faults_.merge(change);
            if (change.value("silentOpen", false)) {
                silentUpTo_ = lastConnection_.load();
            }
            if (handlers_.faultsChanged) {
                handlers_.faultsChanged();
            }
            return jsonReply(ok, faults_.state());
        }
        if (request.path == "/control/state") {
            Json state{{"faults", faults_.state()}, {"tcpConnections", openConnections_.load()}};
            {
                const std::lock_guard lock(mutex_);
                state["calls"] = calls_;
            }
            handlers_.addState(state);
            return jsonReply(ok, state);
        }
        return handlers_.control ? handlers_.control(request) : jsonReply(notFound, {{"error", "no such control path"}});
    } catch (const Json::exception &jsonError) {
        return jsonReply(badRequest, {{"error", jsonError.what()}});
    }
}

bool Server::isSilent(ConnectionNumber number) const
{
    return number <= silentUpTo_.load();
}

} // namespace cardamomstep::standins
