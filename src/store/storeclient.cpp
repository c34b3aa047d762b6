// The store client: a pool of connections, the call budget and the loop that drives WriteResolution.
#include "store/storeclient.h"

#include "http/connection.h"
#include "store/impl/storejson.h"

#include <algorithm>
#include <mutex>
#include <thread>
#include <utility>

namespace cardamomstep {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;
constexpr int statusPreconditionFailed = 412;
constexpr int statusTooLarge = 413;
constexpr int statusTooManyRequests = 429;
constexpr int firstServerError = 500;
constexpr int firstClientError = 400;

/// The maximum number of idle connections kept.
constexpr std::size_t maxIdleConnections = 8;
/// Time beyond a watch's own wait after which its connection counts as silent.
constexpr Milliseconds watchMargin{1000};
/// A reply of many objects counts as lost when none of it arrives for this time.
constexpr Milliseconds listingStallTimeout{1000};

std::string objectPath(const ObjectKey &key)
{
    return "/v1/objects/" + key.kind.text() + "/" + key.name.text();
}

Milliseconds remainingTime(TimePoint deadline)
{
    return wholeMilliseconds(deadline - steadyNow());
}

WriteReplyKind replyKindOf(int status, bool removal)
{
    if (status == statusOk) {
        return WriteReplyKind::Written;
    }
    if (status == statusPreconditionFailed || (removal && status == statusNotFound)) {
        return WriteReplyKind::Mismatch;
    }
    if (status == statusTooManyRequests) {
        return WriteReplyKind::TooManyCalls;
    }
    if (status == statusTooLarge) {
        return WriteReplyKind::TooLarge;
    }
    const bool refused = status >= firstClientError && status < firstServerError;
    return refused ? WriteReplyKind::Rejected : WriteReplyKind::Lost;
}

} // namespace

struct StoreClient::Impl {
    explicit Impl(StoreOptions storeOptions)
        : options(std::move(storeOptions))
        , budget(options.budget)
        , random(options.seed)
    {
    }

    std::unique_ptr<http::Connection> acquireConnection()
    {
        const std::lock_guard lock(mutex);
        if (idle.empty()) {
            return std::make_unique<http::Connection>(options.store);
        }
        auto connection = std::move(idle.back());
        idle.pop_back();
        return connection;
    }

    void releaseConnection(std::unique_ptr<http::Connection> connection)
    {
        const std::lock_guard lock(mutex);
        if (connection->isOpen() && idle.size() < maxIdleConnections) {
            idle.push_back(std::move(connection));
        }
    }

    /// Reserves a call of \a kind in the budget and returns zero, or returns the time to wait before one is available.
    Milliseconds reserveCall(CallKind kind)
    {
        const std::lock_guard lock(mutex);
        const auto now = steadyNow();
        if (budget.take(kind, now)) {
            ++(kind == CallKind::Read ? counts.reads : counts.writes);
            return Milliseconds{0};
        }
        return std::max(Milliseconds{1}, budget.timeUntilAvailable(kind, now));
    }

    /// As reserveCall(), but waits for the call when it becomes available before \a deadline; otherwise it returns without waiting.
    Milliseconds waitForCall(CallKind kind, TimePoint deadline)
    {
        for (;;) {
            const auto wait = reserveCall(kind);
            if (wait.count() == 0 || steadyNow() + wait >= deadline) {
                return wait;
            }
            std::this_thread::sleep_for(wait);
        }
    }

    /// Sends \a request once.
    http::ExchangeResult exchange(http::Request request, Milliseconds timeout, std::optional<Milliseconds> stallTimeout = std::nullopt)
    {
        request.headers["x-from"] = options.instance.text() + "/" + options.domain.text();
        auto connection = acquireConnection();
        auto result = connection->exchange(request, std::max(timeout, Milliseconds{1}), stallTimeout);
        releaseConnection(std::move(connection));
        if (!result.response) {
            const std::lock_guard lock(mutex);
            ++counts.failures;
            // The idle connections use the same path and may be silent too.
            idle.clear();
        }
        return result;
    }

    /// Performs one read; any status but 200 and \a alsoAccepted is a StoreUnavailable error, like a missing reply.
    /// With a \a stallTimeout, a reply that is arriving at the end of \a timeout is waited for until it is complete or stalls.
    Result<http::Response>
    read(http::Request request, Milliseconds timeout, int alsoAccepted = statusOk, std::optional<Milliseconds> stallTimeout = std::nullopt)
    {
        const auto wait = waitForCall(CallKind::Read, steadyNow() + timeout);
        if (wait.count() > 0) {
            return Error{ErrorKind::StoreUnavailable, "the budget of calls to the store is used up"}.withRetryAfter(wait);
        }
        auto result = exchange(request, timeout, stallTimeout);
        const bool connectionMayHaveBeenClosed = !result.response && !result.failure.timedOut && !result.failure.refused;
        if (connectionMayHaveBeenClosed && reserveCall(CallKind::Read).count() == 0) {
            result = exchange(std::move(request), timeout, stallTimeout);
        }
        if (!result.response) {
            return Error{ErrorKind::StoreUnavailable, result.failure.description}.withRetryAfter(options.attemptTimeout);
        }
        if (result.response->status != statusOk && result.response->status != alsoAccepted) {
            return Error{ErrorKind::StoreUnavailable, "the store replied with status " + std::to_string(result.response->status)}
                .withRetryAfter(options.attemptTimeout);
        }
        return *result.response;
    }

    WriteReply sendWrite(const StoreWrite &write, TimePoint deadline)
    {
        if (waitForCall(CallKind::Write, deadline).count() > 0) {
            return {WriteReplyKind::TooManyCalls, {}};
        }
        http::Request request;
        request.method = write.removal ? "DELETE" : "PUT";
        request.path = objectPath(write.key);
        request.headers["if-match"] = std::to_string(write.expected.value);
        request.headers["content-type"] = "application/json";
        request.body = write.value;
        const auto result = exchange(std::move(request), std::min(options.attemptTimeout, remainingTime(deadline)));
        if (!result.response) {
            const bool notSent = result.failure.stage == http::ExchangeStage::NotSent;
            return {notSent ? WriteReplyKind::NotSent : WriteReplyKind::Lost, {}};
        }
        const auto kind = replyKindOf(result.response->status, write.removal);
        const auto version = impl::parseVersion(result.response->body);
        if (kind == WriteReplyKind::Written && !version) {
            return {WriteReplyKind::Lost, {}};
        }
        return {kind, version.value_or(Revision{})};
    }

    ReadBackReply readBack(const ObjectKey &key, TimePoint deadline)
    {
        const auto response =
            read({"GET", objectPath(key), {}, {}, {}}, std::min(options.attemptTimeout, remainingTime(deadline)), statusNotFound);
        if (!response) {
            return {};
        }
        if (response->status == statusNotFound) {
            return {true, std::nullopt};
        }
        auto object = impl::parseObject(response->body);
        return object ? ReadBackReply{true, std::move(*object)} : ReadBackReply{};
    }

    std::uint64_t nextSeed()
    {
        const std::lock_guard lock(mutex);
        return random();
    }

    StoreOptions options;
    std::mutex mutex;
    /// Guarded by mutex, like all members below.
    std::vector<std::unique_ptr<http::Connection>> idle;
    CallBudget budget;
    StoreCallCounts counts;
    Random random;
};

StoreClient::StoreClient(StoreOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

StoreClient::~StoreClient() = default;

Result<StoredObject> StoreClient::get(const ObjectKey &key, Milliseconds timeout)
{
    const auto response = impl_->read({"GET", objectPath(key), {}, {}, {}}, timeout, statusNotFound);
    if (!response) {
        return response.error();
    }
    if (response->status == statusNotFound) {
        return Error{ErrorKind::NotFound, "the store holds no " + key.kind.text() + "/" + key.name.text()};
    }
    return impl::parseObject(response->body);
}

Result<StoreListing> StoreClient::list(const ObjectKind &kind, Milliseconds timeout)
{
    const auto path = kind.empty() ? std::string("/v1/objects") : "/v1/objects/" + kind.text();
    const auto response = impl_->read({"GET", path, {}, {}, {}}, timeout, statusOk, listingStallTimeout);
    if (!response) {
        return response.error();
    }
    return impl::parseListing(response->body);
}

Result<StoreWritten> StoreClient::write(const StoreWrite &write, Milliseconds timeout)
{
    const auto deadline = steadyNow() + timeout;
    WriteResolution resolution{write, deadline, impl_->nextSeed()};
    auto action = WriteResolution::start();
    while (!std::holds_alternative<WriteFinished>(action)) {
        if (std::holds_alternative<SendStoreWrite>(action)) {
            const auto reply = impl_->sendWrite(write, deadline);
            action = resolution.onWriteReply(reply, steadyNow());
        } else if (std::holds_alternative<ReadBack>(action)) {
            const auto reply = impl_->readBack(write.key, deadline);
            action = resolution.onReadBack(reply, steadyNow());
        } else {
            std::this_thread::sleep_for(std::get<WaitUntil>(action).time - steadyNow());
            action = resolution.onWaited(steadyNow());
        }
    }
    auto outcome = std::get<WriteFinished>(std::move(action)).outcome;
    if (outcome && outcome->resolved) {
        const std::lock_guard lock(impl_->mutex);
        ++impl_->counts.resolved;
    }
    return outcome;
}

Result<StoreWritten>
StoreClient::put(const ObjectKey &key, std::string value, Revision expected, const WriterNonce &nonce, Milliseconds timeout)
{
    return write({key, std::move(value), expected, nonce, false}, timeout);
}

Result<StoreWritten> StoreClient::remove(const ObjectKey &key, Revision expected, Milliseconds timeout)
{
    return write({key, {}, expected, {}, true}, timeout);
}

Result<StoreChanges> StoreClient::watch(Revision after, Milliseconds wait)
{
    http::Request request{"GET", "/v1/watch", {}, {}, {}};
    request.query["after"] = std::to_string(after.value);
    request.query["waitMs"] = std::to_string(wait.count());
    const auto response = impl_->read(std::move(request), wait + watchMargin, statusGone, listingStallTimeout);
    if (!response) {
        return response.error();
    }
    if (response->status == statusGone) {
        return StoreChanges{after, {}, {}, true};
    }
    return impl::parseChanges(response->body, after);
}

Result<std::vector<ListedInstance>> StoreClient::instances(Milliseconds timeout)
{
    const auto response = impl_->read({"GET", "/v1/instances", {}, {}, {}}, timeout, statusOk, listingStallTimeout);
    if (!response) {
        return response.error();
    }
    return impl::parseInstances(response->body);
}

void StoreClient::setBudget(CallBudgetOptions options)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->budget.setOptions(options, steadyNow());
}

StoreCallCounts StoreClient::counts() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->counts;
}

} // namespace cardamomstep
