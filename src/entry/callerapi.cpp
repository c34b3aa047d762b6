// Implements the callers' HTTP interface.
#include "entry/callerapi.h"

#include <utility>

namespace cardamomstep::entry {

namespace {

constexpr Milliseconds defaultRetryAfter{100};
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

/// Counts a statement as in flight during the lifetime of this object.
class InFlightGuard
{
public:
    explicit InFlightGuard(std::atomic<std::uint32_t> &count)
        : count_(count)
        , countBefore_(count++)
    {
    }
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;
    ~InFlightGuard()
    {
        --count_;
    }

    /// The number of statements that were in flight before this one.
    [[nodiscard]] std::uint32_t countBefore() const noexcept
    {
        return countBefore_;
    }

private:
    std::atomic<std::uint32_t> &count_;
    std::uint32_t countBefore_;
};

http::Response makeResponse(int status, const std::string &type, std::string body)
{
    http::Response response;
    response.status = status;
    response.headers["content-type"] = type;
    response.body = std::move(body);
    return response;
}

bool needsRequestId(const Statement &statement)
{
    const bool write = statement.verb == Verb::Execute && statement.access == Access::Write && statement.transaction.empty();
    return write || statement.verb == Verb::Commit;
}

} // namespace

CallerApi::CallerApi(CallerServices services, const CallerLimits &limits, std::uint32_t maxInFlight)
    : services_(std::move(services))
    , limits_(limits)
    , maxInFlight_(maxInFlight)
{
}

http::Response CallerApi::handle(const http::Request &request)
{
    if (request.path == "/health") {
        return makeResponse(statusOk, "application/json", R"({"status":"alive"})");
    }
    if (request.path == "/ready") {
        const bool ready = !draining_ && services_.ready();
        return makeResponse(
            ready ? statusOk : statusUnavailable, "application/json", ready ? R"({"status":"ready"})" : R"({"status":"not-ready"})");
    }
    if (request.path == "/metrics") {
        return makeResponse(statusOk, "text/plain", services_.metrics());
    }
    auto response = runStatement(request);
    if (draining_) {
        response.headers["connection"] = "close";
    }
    return response;
}

http::Response CallerApi::runStatement(const http::Request &request)
{
    const auto arrived = steadyNow();
    lastArrival_ = arrived;
    const auto authorized = services_.authorize(request.header("authorization"));
    if (!authorized) {
        return writeAnswer(failedAnswer(authorized.error()), RequestId{});
    }
    auto statement = readStatement(request, limits_);
    if (!statement) {
        return writeAnswer(failedAnswer(statement.error()), RequestId{});
    }
    if (needsRequestId(*statement) && statement->requestId.empty()) {
        statement->requestId = services_.drawRequestId();
    }
    auto answer = runAdmitted(*statement, arrived);
    if (answer.session.empty()) {
        answer.session = statement->session;
    }
    services_.finished(*statement, answer, steadyNow() - arrived);
    return writeAnswer(answer, statement->requestId);
}

Answer CallerApi::runAdmitted(Statement &statement, TimePoint arrived)
{
    const InFlightGuard guard(inFlight_);
    const bool continuesTransaction = !statement.transaction.empty();
    if (refusing_ && !continuesTransaction) {
        return failedAnswer(Error{ErrorKind::Draining, "this proxy is stopping"}.withRetryAfter(Milliseconds{0}));
    }
    if (guard.countBefore() >= maxInFlight_) {
        return failedAnswer(Error{ErrorKind::Overloaded, "too many statements in flight at this proxy"}.withRetryAfter(defaultRetryAfter));
    }
    return services_.run(statement, arrived + statement.window);
}

} // namespace cardamomstep::entry
