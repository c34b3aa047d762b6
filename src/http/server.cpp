// Adapts cxxtools::http::Server, which runs blocking responders on a thread pool.
#include "http/server.h"

#include "http/address.h"
#include "http/impl/urltext.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <array>
#include <istream>
#include <thread>

namespace cardamomstep::http {

namespace {

constexpr int payloadTooLarge = 413;
constexpr int internalServerError = 500;

class HandlerResponder : public cxxtools::http::Responder
{
public:
    HandlerResponder(cxxtools::http::Service &service, const Handler &handler, std::size_t maxBodyBytes)
        : Responder(service)
        , handler_(handler)
        , maxBodyBytes_(maxBodyBytes)
    {
    }

    void beginRequest(cxxtools::net::TcpSocket & /*socket*/, std::istream & /*in*/, cxxtools::http::Request & /*request*/) override
    {
        body_.clear();
        tooLarge_ = false;
    }

    std::size_t readBody(std::istream &in) override
    {
        std::array<char, 4096> chunk{};
        std::size_t total = 0;
        while (in.rdbuf()->in_avail() > 0) {
            const auto available = std::min<std::streamsize>(in.rdbuf()->in_avail(), chunk.size());
            const auto count = in.rdbuf()->sgetn(chunk.data(), available);
            if (count <= 0) {
                break;
            }
            total += static_cast<std::size_t>(count);
            appendBody(chunk.data(), static_cast<std::size_t>(count));
        }
        return total;
    }

    void reply(std::ostream &out, cxxtools::http::Request &request, cxxtools::http::Reply &reply) override
    {
        if (tooLarge_) {
            reply.httpReturn(payloadTooLarge, "Payload Too Large");
            out << R"({"error":"too-large","ran":"no","description":"the request body exceeds the limit"})";
            return;
        }
        const auto response = handler_(toRequest(request));
        reply.httpReturn(static_cast<unsigned>(response.status), std::string(reasonPhrase(response.status)));
        for (const auto &[name, value] : response.headers) {
            reply.setHeader(name.c_str(), value.c_str());
        }
        out << response.body;
    }

    void replyError(std::ostream &out,
                    cxxtools::http::Request & /*request*/,
                    cxxtools::http::Reply &reply,
                    const std::exception & /*ex*/) override
    {
        reply.httpReturn(internalServerError, "Internal Server Error");
        out << R"({"error":"internal","ran":"unknown","description":"internal error"})";
    }

private:
    void appendBody(const char *data, std::size_t count)
    {
        if (body_.size() + count > maxBodyBytes_) {
            tooLarge_ = true;
            body_.clear();
        }
        if (!tooLarge_) {
            body_.append(data, count);
        }
    }

    [[nodiscard]] Request toRequest(const cxxtools::http::Request &request) const
    {
        Request result;
        result.method = request.method();
        result.path = impl::decodeUrl(request.url());
        result.query = impl::parseQuery(request.qparams());
        for (auto field = request.header().begin(); field != request.header().end(); ++field) {
            result.headers[impl::lowerCase(field->first)] = field->second;
        }
        result.body = body_;
        return result;
    }

    const Handler &handler_;
    std::size_t maxBodyBytes_;
    std::string body_;
    bool tooLarge_ = false;
};

class HandlerService : public cxxtools::http::Service
{
public:
    HandlerService(Handler handler, std::size_t maxBodyBytes)
        : handler_(std::move(handler))
        , maxBodyBytes_(maxBodyBytes)
    {
    }

protected:
    cxxtools::http::Responder *createResponder(const cxxtools::http::Request & /*request*/) override
    {
        return new HandlerResponder(*this, handler_, maxBodyBytes_);
    }

    void releaseResponder(cxxtools::http::Responder *responder) override
    {
        delete responder;
    }

private:
    Handler handler_;
    std::size_t maxBodyBytes_;
};

} // namespace

struct Server::Impl {
    Impl(const ServerOptions &options, Handler handler)
        : server(loop)
        , service(std::move(handler), options.maxBodyBytes)
    {
        server.minThreads(std::min(options.maxThreads, 4U));
        server.maxThreads(options.maxThreads);
        server.keepAliveTimeout(cxxtools::Milliseconds(static_cast<double>(options.keepAliveTimeout.count())));
        server.addService(cxxtools::Regex("^/"), service);
    }

    // Declared before the server, which it must outlive.
    cxxtools::EventLoop loop;
    cxxtools::http::Server server;
    HandlerService service;
    std::thread thread;
};

Server::Server(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

Result<std::unique_ptr<Server>> Server::start(const ServerOptions &options, Handler handler)
{
    const auto endpoint = parseAddress(options.listen);
    if (!endpoint) {
        return endpoint.error();
    }
    auto impl = std::make_unique<Impl>(options, std::move(handler));
    try {
        impl->server.listen(endpoint->ip, endpoint->port, options.certificateFile, options.keyFile);
    } catch (const std::exception &fault) {
        return Error{ErrorKind::Internal, "cannot listen on " + options.listen.text() + ": " + fault.what()}.withRan(Ran::No);
    }
    impl->thread = std::thread([loop = &impl->loop] { loop->run(); });
    return std::unique_ptr<Server>(new Server(std::move(impl)));
}

Server::~Server()
{
    impl_->loop.exit();
    impl_->thread.join();
}

} // namespace cardamomstep::http
