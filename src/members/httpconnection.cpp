// Connections to a member over HTTP/JSON.
#include "members/httpconnection.h"

#include "http/connection.h"
#include "members/impl/membercodec.h"

#include <utility>

namespace cardamomstep {

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusTooMany = 429;

/// Sends requests that identify this process.
class Requester
{
public:
    Requester(const Address &remote, const ConnectionIdentity &identity)
        : connection_(remote)
        , from_(identity.instance.text() + "/" + identity.domain.text())
    {
    }

    [[nodiscard]] http::ExchangeResult post(const std::string &path, std::string body, Milliseconds timeout)
    {
        return connection_.exchange(request("POST", path, std::move(body)), timeout);
    }

    [[nodiscard]] http::ExchangeResult get(const std::string &path, std::map<std::string, std::string> query, Milliseconds timeout)
    {
        auto message = request("GET", path, "");
        message.query = std::move(query);
        return connection_.exchange(message, timeout);
    }

    [[nodiscard]] http::Connection &connection() noexcept
    {
        return connection_;
    }

private:
    [[nodiscard]] http::Request request(const std::string &method, const std::string &path, std::string body) const
    {
        http::Request message;
        message.method = method;
        message.path = path;
        message.headers["x-from"] = from_;
        message.headers["content-type"] = "application/json";
        message.body = std::move(body);
        return message;
    }

    http::Connection connection_;
    std::string from_;
};

ConnectionFailure toConnectionFailure(const http::ExchangeFailure &failure)
{
    ConnectionFailure result;
    result.notSent = failure.stage == http::ExchangeStage::NotSent;
    result.description = failure.description;
    if (failure.refused) {
        result.fault = ConnectionFault::Refused;
    } else {
        result.fault = failure.timedOut ? ConnectionFault::TimedOut : ConnectionFault::Closed;
    }
    return result;
}

ConnectionFailure corrupt(const std::string &what)
{
    return {ConnectionFault::Corrupt, false, what + " is truncated, malformed or belongs to another exchange"};
}

/// Decodes the response of \a result with \a decode; closes the connection if the response cannot be decoded.
template<typename Reply, typename Decode>
ConnectionResult<Reply> decodeResult(Requester &requester, const http::ExchangeResult &result, Decode decode)
{
    if (!result.response) {
        return toConnectionFailure(result.failure);
    }
    const auto &response = *result.response;
    const bool decodable = response.status == statusOk || response.status == statusConflict;
    auto reply = decodable ? decode(response.body) : std::nullopt;
    if (!reply) {
        requester.connection().close();
        return corrupt("reply with status " + std::to_string(response.status));
    }
    return std::move(*reply);
}

} // namespace

// Control connection

struct HttpControlConnection::Impl {
    Impl(const Address &remote, const ConnectionIdentity &identity)
        : requester(remote, identity)
    {
    }

    Requester requester;
};

HttpControlConnection::HttpControlConnection(const Address &remote, const ConnectionIdentity &identity)
    : impl_(std::make_unique<Impl>(remote, identity))
{
}

HttpControlConnection::HttpControlConnection(HttpControlConnection &&) noexcept = default;
HttpControlConnection &HttpControlConnection::operator=(HttpControlConnection &&) noexcept = default;
HttpControlConnection::~HttpControlConnection() = default;

ConnectionResult<MemberReport> HttpControlConnection::report(Milliseconds timeout)
{
    const auto result = impl_->requester.get("/v1/report", {}, timeout);
    return decodeResult<MemberReport>(impl_->requester, result, impl::decodeReport);
}

ConnectionResult<MemberReport> HttpControlConnection::reportAfter(const MemberReport &lastReport, Milliseconds wait, Milliseconds timeout)
{
    std::map<std::string, std::string> query{
        {"afterTerm", toText(lastReport.adopted)},
        {"afterMark", toText(lastReport.log)},
        {"afterRole", lastReport.role == MemberRole::Primary ? "primary" : "replica"},
        {"afterLeaving", lastReport.leaving ? "true" : "false"},
        {"waitMs", std::to_string(wait.count())},
    };
    const auto result = impl_->requester.get("/v1/report", std::move(query), wait + timeout);
    return decodeResult<MemberReport>(impl_->requester, result, impl::decodeReport);
}

ConnectionResult<TermReply> HttpControlConnection::adopt(Term term, Milliseconds timeout)
{
    const auto result = impl_->requester.post("/v1/adopt", impl::encodeTerm(term), timeout);
    return decodeResult<TermReply>(impl_->requester, result, impl::decodeTermReply);
}

ConnectionResult<TermReply> HttpControlConnection::lead(Term term, Milliseconds timeout)
{
    const auto result = impl_->requester.post("/v1/lead", impl::encodeTerm(term), timeout);
    return decodeResult<TermReply>(impl_->requester, result, impl::decodeTermReply);
}

ConnectionResult<TermReply>
HttpControlConnection::follow(Term term, const MemberName &primary, const Address &address, Milliseconds timeout)
{
    const auto result = impl_->requester.post("/v1/follow", impl::encodeFollow(term, primary, address), timeout);
    return decodeResult<TermReply>(impl_->requester, result, impl::decodeTermReply);
}

ConnectionResult<OutcomeReply> HttpControlConnection::outcome(const RequestId &id, Milliseconds timeout)
{
    const auto result = impl_->requester.post("/v1/outcome", impl::encodeOutcome(id), timeout);
    return decodeResult<OutcomeReply>(impl_->requester, result, impl::decodeOutcome);
}

// Statement connection

struct HttpStatementConnection::Impl {
    Impl(const Address &remote, const ConnectionIdentity &identity)
        : requester(remote, identity)
        , client(identity.instance.text())
    {
    }

    Requester requester;
    std::string client;
    bool open = false;

    [[nodiscard]] ConnectionResult<MemberReply> send(const std::string &path, const MemberCall &call, Milliseconds timeout)
    {
        if (!open || !requester.connection().checkOpen()) {
            open = false;
            return ConnectionFailure{ConnectionFault::Closed, true, "the connection is closed"};
        }
        const auto result = requester.post(path, impl::encodeCall(call), timeout);
        auto reply = decodeResult<MemberReply>(
            requester, result, [&call](const std::string &body) { return impl::decodeReply(body, call.exchange); });
        open = open && requester.connection().isOpen() && std::holds_alternative<MemberReply>(reply);
        return reply;
    }
};

HttpStatementConnection::HttpStatementConnection(const Address &remote, const ConnectionIdentity &identity)
    : impl_(std::make_unique<Impl>(remote, identity))
{
}

HttpStatementConnection::HttpStatementConnection(HttpStatementConnection &&) noexcept = default;
HttpStatementConnection &HttpStatementConnection::operator=(HttpStatementConnection &&) noexcept = default;
HttpStatementConnection::~HttpStatementConnection() = default;

ConnectionResult<Success> HttpStatementConnection::open(Milliseconds timeout)
{
    const auto result = impl_->requester.post("/v1/open", R"({"client":")" + impl_->client + "\"}", timeout);
    if (!result.response) {
        auto failure = toConnectionFailure(result.failure);
        failure.notSent = true; // no statement was sent
        return failure;
    }
    if (result.response->status != statusOk) {
        impl_->requester.connection().close();
        const auto fault = result.response->status == statusTooMany ? ConnectionFault::NoConnection : ConnectionFault::Corrupt;
        return ConnectionFailure{fault, true, "opening the connection failed with HTTP status " + std::to_string(result.response->status)};
    }
    impl_->open = true;
    return Success{};
}

bool HttpStatementConnection::isOpen() const noexcept
{
    return impl_->open;
}

bool HttpStatementConnection::checkOpen() noexcept
{
    impl_->open = impl_->open && impl_->requester.connection().checkOpen();
    return impl_->open;
}

ConnectionResult<MemberReply> HttpStatementConnection::execute(const MemberCall &call, Milliseconds timeout)
{
    return impl_->send("/v1/execute", call, timeout);
}

ConnectionResult<MemberReply> HttpStatementConnection::begin(const MemberCall &call, Milliseconds timeout)
{
    return impl_->send("/v1/begin", call, timeout);
}

ConnectionResult<MemberReply> HttpStatementConnection::commit(const MemberCall &call, Milliseconds timeout)
{
    return impl_->send("/v1/commit", call, timeout);
}

ConnectionResult<MemberReply> HttpStatementConnection::rollback(const MemberCall &call, Milliseconds timeout)
{
    return impl_->send("/v1/rollback", call, timeout);
}

} // namespace cardamomstep
