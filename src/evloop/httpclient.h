// Non-blocking HTTP/1.1 calls over one keep-alive connection.
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

/// The response to a call.
struct HttpResponse {
    int status = 0;
    std::string body;
    /// Value of the header that the client was told to report; empty when the response has none.
    std::string reportedHeader;
};

/// What has arrived of a response that is not complete yet.
struct ResponseProgress {
    std::size_t bytes = 0;
    /// When its last bytes arrived; the clock's origin while there are none.
    TimePoint lastBytesAt;
};

/// A client of one server; calls are made one at a time, in order.
///
/// A call fails with ErrorKind::StoreUnavailable if nothing was sent, otherwise with ErrorKind::StoreOutcomeUnknown. No call is retried.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    using Handler = std::function<void(Result<HttpResponse>)>;

    /// \a reportedHeader names the header whose value each response reports; empty for none.
    HttpClient(boost::asio::io_context &loop, Address server, std::string reportedHeader = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Queues \a call; \a done is called once. \a timeout is measured from the start of the call, not from its queueing. A response that
    /// is still arriving then is waited for until it is complete or stalls.
    void call(HttpCall call, Milliseconds timeout, Handler done);

    /// Ends the current call, if any, with ErrorKind::StoreOutcomeUnknown.
    void abandon();

    /// Returns what has arrived of the response to the current call.
    [[nodiscard]] ResponseProgress progress() const;

    /// Returns the number of calls that wait to be started.
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

    void startNext();
    void setTimeout(const std::shared_ptr<Exchange> &exchange, Microseconds timeout);
    void write(const std::shared_ptr<Exchange> &exchange);
    void read(const std::shared_ptr<Exchange> &exchange);
    void onResponse(const std::shared_ptr<Exchange> &exchange);
    void finish(const std::shared_ptr<Exchange> &exchange, Result<HttpResponse> result, bool keepAlive);

    boost::asio::io_context &loop_;
    Address server_;
    std::string reportedHeader_;
    std::unique_ptr<boost::asio::ip::tcp::socket> socket_;
    std::deque<Pending> queue_;
    bool busy_ = false;
    std::weak_ptr<Exchange> current_;
};

} // namespace cardamomstep::evloop
