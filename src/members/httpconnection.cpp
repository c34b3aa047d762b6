// Links to a member over HTTP/JSON.
#include "members/httpconnection.h"

#include "http/connection.h"
#include "members/impl/membercodec.h"

#include <utility>

namespace cardamomstep {

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusTooMany = 429;

/// Builds requests that name this process.
class Requester
{
public:
    Requester(const Address &remote, const LinkIdentity &identity)
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

LinkFailure toLinkFailure(const http::ExchangeFailure &failure)
{
    LinkFailure result;
    result.notSent = failure.stage == http::ExchangeStage::NotSent;
    result.description = failure.description;
    if (failure.refused) {
        result.fault = LinkFault::Refused;
    } else {
        result.fault = failure.timedOut ? LinkFault::TimedOut : LinkFault::Closed;
    }
    return result;
}

LinkFailure corrupt(const std::string &what)
{
    return {LinkFault::Corrupt, false, what + " is truncated, malformed or belongs to another exchange"};
}

/// Decodes the response of \a result by \a decode; a response that cannot be read closes the connection.
template<typename Reply, typename Decode>
LinkResult<Reply> decoded(Requester &requester, const http::ExchangeResult &result, Decode decode)
{
    if (!result.response) {
        return toLinkFailure(result.failure);
    }
    const auto &response = *result.response;
    const bool known = response.status == statusOk || response.status == statusConflict;
    auto reply = known ? decode(response.body) : std::nullopt;
    if (!reply) {
        requester.connection().close();
        return corrupt("reply with status " + std::to_string(response.status));
    }
    return std::move(*reply);
}

} // namespace

// Control link

struct HttpControlLink::Impl {
    Impl(const Address &remote, const LinkIdentity &identity)
        : requester(remote, identity)
    {
    }

    Requester requester;
};

HttpControlLink::HttpControlLink(const Address &remote, const LinkIdentity &identity)
    : impl_(std::make_unique<Impl>(remote, identity))
{
}

HttpControlLink::HttpControlLink(HttpControlLink &&) noexcept = default;
HttpControlLink &HttpControlLink::operator=(HttpControlLink &&) noexcept = default;
HttpControlLink::~HttpControlLink() = default;

LinkResult<MemberReport> HttpControlLink::report(Milliseconds timeout)
{
    const auto result = impl_->requester.get("/v1/report", {}, timeout);
    return decoded<MemberReport>(impl_->requester, result, impl::decodeReport);
}

LinkResult<MemberReport> HttpControlLink::reportAfter(const MemberReport &seen, Milliseconds wait, Milliseconds timeout)
{
    std::map<std::string, std::string> query{
        {"afterTerm", toText(seen.adopted)},
        {"afterMark", toText(seen.log)},
        {"afterRole", seen.role == MemberRole::Primary ? "primary" : "replica"},
        {"afterLeaving", seen.leaving ? "true" : "false"},
        {"waitMs", std::to_string(wait.count())},
    };
    const auto result = impl_->requester.get("/v1/report", std::move(query), wait + timeout);
    return decoded<MemberReport>(impl_->requester, result, impl::decodeReport);
}

LinkResult<TermReply> HttpControlLink::adopt(Term term, Milliseconds timeout)
{
    const auto result = impl_->requester.post("/v1/adopt", impl::encodeTerm(term), timeout);
    return decoded<TermReply>(impl_->requester, result, impl::decodeTermReply);
}

LinkResult<TermReply> HttpControlLink::lead(Term term, Milliseconds timeout)
{
    const auto result = impl_->requester.post("/v1/lead", impl::encodeTerm(term), timeout);
    return decoded<TermReply>(impl_->requester, result, impl::decodeTermReply);
}

LinkResult<TermReply> HttpControlLink::follow(Term term, const MemberName &primary, const Address &address, Milliseconds timeout)
{
    const auto result = impl_->requester.post("/v1/follow", impl::encodeFollow(term, primary, address), timeout);
    return decoded<TermReply>(impl_->requester, result, impl::decodeTermReply);
}

LinkResult<OutcomeReply> HttpControlLink::outcome(const RequestId &id, Milliseconds timeout)
{
    const auto result = impl_->requester.post("/v1/outcome", impl::encodeOutcome(id), timeout);
    return decoded<OutcomeReply>(impl_->requester, result, impl::decodeOutcome);
}

// Statement link

struct HttpStatementLink::Impl {
    Impl(const Address &remote, const LinkIdentity &identity)
        : requester(remote, identity)
        , client(identity.instance.text())
    {
    }

    Requester requester;
    std::string client;
    bool open = false;

    [[nodiscard]] LinkResult<MemberReply> send(const std::string &path, const MemberCall &call, Milliseconds timeout)
    {
        if (!open || !requester.connection().checkOpen()) {
            open = false;
            return LinkFailure{LinkFault::Closed, true, "the connection is closed"};
        }
        const auto result = requester.post(path, impl::encodeCall(call), timeout);
        auto reply =
            decoded<MemberReply>(requester, result, [&call](const std::string &body) { return impl::decodeReply(body, call.exchange); });
        open = open && requester.connection().isOpen() && std::holds_alternative<MemberReply>(reply);
        return reply;
    }
};

HttpStatementLink::HttpStatementLink(const Address &remote, const LinkIdentity &identity)
    : impl_(std::make_unique<Impl>(remote, identity))
{
}

HttpStatementLink::HttpStatementLink(HttpStatementLink &&) noexcept = default;
HttpStatementLink &HttpStatementLink::operator=(HttpStatementLink &&) noexcept = default;
HttpStatementLink::~HttpStatementLink() = default;

LinkResult<Success> HttpStatementLink::open(Milliseconds timeout)
{
    const auto result = impl_->requester.post("/v1/open", R"({"client":")" + impl_->client + "\"}", timeout);
    if (!result.response) {
        auto failure = toLinkFailure(result.failure);
        failure.notSent = true; // no statement was sent
        return failure;
    }
    if (result.response->status != statusOk) {
        impl_->requester.connection().close();
        const auto fault = result.response->status == statusTooMany ? LinkFault::NoConnection : LinkFault::Corrupt;
        return LinkFailure{fault, true, "open was answered with status " + std::to_string(result.response->status)};
    }
    impl_->open = true;
    return Success{};
}

bool HttpStatementLink::isOpen() const noexcept
{
    return impl_->open;
}

bool HttpStatementLink::checkOpen() noexcept
{
    impl_->open = impl_->open && impl_->requester.connection().checkOpen();
    return impl_->open;
}

LinkResult<MemberReply> HttpStatementLink::execute(const MemberCall &call, Milliseconds timeout)
{
    return impl_->send("/v1/execute", call, timeout);
}

LinkResult<MemberReply> HttpStatementLink::begin(const MemberCall &call, Milliseconds timeout)
{
    return impl_->send("/v1/begin", call, timeout);
}

LinkResult<MemberReply> HttpStatementLink::commit(const MemberCall &call, Milliseconds timeout)
{
    return impl_->send("/v1/commit", call, timeout);
}

LinkResult<MemberReply> HttpStatementLink::rollback(const MemberCall &call, Milliseconds timeout)
{
    return impl_->send("/v1/rollback", call, timeout);
}

} // namespace cardamomstep
