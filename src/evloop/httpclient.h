// HTTP/1.1 calls over one kept connection, without blocking.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "evloop/fwd.h"

#include <utility>

#include <boost/asio.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamomstep::evloop {

/// One call.
struct HttpCall {
    std::string method = "GET";
    /// Path and query.
    std::string target;
    /// JSON text; empty for none.
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// The whole answer to a call.
struct HttpResponse {
    int status = 0;
    std::string body;
};

/// Calls one server; calls are made one after the other.
///
/// A failed call is ErrorKind::StoreUnavailable when nothing was sent, else ErrorKind::StoreOutcomeUnknown. No call is repeated.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    using Handler = std::function<void(Result<HttpResponse>)>;

    HttpClient(boost::asio::io_context &loop, Address server);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Makes \a call; \a done is called once, within about \a timeout of the start of the call.
    void call(HttpCall call, Milliseconds timeout, Handler done);

    /// Ends the call under way, if any, as one whose answer was lost.
    void abandon();

    /// Calls that wait or are under way.
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return queue_.size();
    }

private:
    struct Exchange;
    struct Pending {
        HttpCall call;
        Milliseconds timeout;
        Handler done;
    };

    void next();
    void write(const std::shared_ptr<Exchange> &exchange);
    void finish(const std::shared_ptr<Exchange> &exchange, Result<HttpResponse> result, bool keep);

    boost::asio::io_context &loop_;
    Address server_;
    std::unique_ptr<boost::asio::ip::tcp::socket> socket_;
    std::deque<Pending> queue_;
    bool busy_ = false;
    std::weak_ptr<Exchange> current_;
};

} // namespace cardamomstep::evloop
