// HTTP interface of a stand-in member; memberstate.cpp implements the member's rules.
#include "member.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace cardamomstep::standins {

using Json = nlohmann::json;

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int tooMany = 429;
constexpr std::uint64_t maxEntriesPerPull = 500;

std::int64_t steadyMicroseconds()
{
    return steadyNow().time_since_epoch().count();
}

Term termOf(const Json &body, const char *name)
{
    const auto term = parseTerm(body.value(name, std::string()));
    return term ? *term : Term{};
}

Call callOf(const Json &body)
{
    Call call;
    call.exchange = body.value("exchange", "");
    call.term = termOf(body, "term");
    call.write = body.value("write", false);
    call.needsPrimary = body.value("needsPrimary", false);
    call.operation = {body.value("operation", ""), body.value("key", ""), body.value("arguments", Json::object())};
    call.requestId = body.value("requestId", "");
    const auto fingerprint = body.value("fingerprint", std::string("0"));
    call.fingerprint = std::strtoull(fingerprint.c_str(), nullptr, 10);
    call.transaction = body.value("transaction", "");
    return call;
}

std::int64_t milliseconds(const std::string &text)
{
    return std::strtoll(text.c_str(), nullptr, 10);
}

} // namespace

Member::Member(MemberOptions options)
    : options_(std::move(options))
    , faults_(options_.domain)
    , slots_(options_.slots)
    , connections_(options_.connections)
    , state_(options_.name, options_.stateFile)
{
}

void Member::run()
{
    std::thread([this] { replicate(); }).detach();
    const auto handlers = makeHandlers();
    Server(handlers, faults_).run(options_.listen);
}

ServerHandlers Member::makeHandlers()
{
    ServerHandlers handlers;
    handlers.handle = [this](ConnectionNumber connection, const http::Request &request) {
        return handle(connection, request);
    };
    handlers.closed = [this](ConnectionNumber connection) {
        closed(connection);
    };
    handlers.addState = [this](Json &state) {
        addState(state);
    };
    handlers.faultsChanged = [this] {
        const std::lock_guard lock(mutex_);
        leavingSince_ = !faults_.leaving() ? 0 : leavingSince_ == 0 ? steadyMicroseconds() : leavingSince_;
        changed_.notify_all();
    };
    handlers.isDelayed = [](const http::Request &request) {
        return request.path != "/v1/log";
    };
    return handlers;
}

Reply Member::handle(ConnectionNumber connection, const http::Request &request)
{
    const auto &path = request.path;
    if (path == "/v1/report") {
        return report(request);
    }
    if (path == "/v1/log") {
        return pullLog(request);
    }
    if (path == "/v1/adopt" || path == "/v1/lead" || path == "/v1/follow") {
        return order(request);
    }
    if (path == "/v1/outcome") {
        return outcome(request);
    }
    if (path == "/v1/open") {
        return open(connection);
    }
    if (path == "/v1/execute" || path == "/v1/begin" || path == "/v1/commit" || path == "/v1/rollback") {
        return statement(connection, request);
    }
    return jsonReply(notFound, {{"error", "no such path"}});
}

Json Member::reportLocked() const
{
    return {{"member", state_.name()},
            {"role", state_.isPrimary() ? "primary" : "replica"},
            {"adopted", toText(state_.adopted())},
            {"log", toText(state_.log().last())},
            {"leaving", faults_.leaving()}};
}

bool Member::differsLocked(const http::Request &request) const
{
    const auto differs = [&request](const char *name, const std::string &current) {
        const auto known = request.parameter(name);
        return !known.empty() && known != current;
    };
    return differs("afterTerm", toText(state_.adopted())) || differs("afterMark", toText(state_.log().last()))
        || differs("afterRole", state_.isPrimary() ? "primary" : "replica")
        || differs("afterLeaving", faults_.leaving() ? "true" : "false");
}

Reply Member::report(const http::Request &request)
{
    const auto wait = milliseconds(request.parameter("waitMs"));
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, Milliseconds(wait), [&] { return differsLocked(request); });
    return jsonReply(ok, reportLocked());
}

Reply Member::order(const http::Request &request)
{
    const auto body = Json::parse(request.body);
    const auto term = parseTerm(body.at("term").get<std::string>());
    if (!term) {
        return jsonReply(badRequest, {{"error", term.error().description}});
    }
    const std::lock_guard lock(mutex_);
    bool accepted = false;
    if (request.path == "/v1/adopt") {
        accepted = state_.adopt(*term);
    } else if (request.path == "/v1/lead") {
        accepted = state_.lead(*term, steadyMicroseconds());
    } else {
        accepted = state_.follow(*term, {body.at("primary").get<std::string>(), body.at("address").get<std::string>()});
    }
    changed_.notify_all();
    return jsonReply(ok, {{"accepted", accepted}, {"report", reportLocked()}});
}

Reply Member::outcome(const http::Request &request)
{
    const auto body = Json::parse(request.body);
    const std::lock_guard lock(mutex_);
    const auto entryIndex = state_.log().findRequest(body.at("requestId").get<std::string>());
    Json replyBody{{"found", entryIndex != 0}, {"rows", Json::array()}, {"rowCount", 0}, {"report", reportLocked()}};
    if (entryIndex != 0) {
        const auto &entry = state_.log().at(entryIndex);
        replyBody["mark"] = toText(state_.log().positionAt(entryIndex));
        replyBody["fingerprint"] = std::to_string(entry.fingerprint);
        replyBody["rows"] = entry.rows;
        replyBody["rowCount"] = entry.rows.size();
    }
    return jsonReply(ok, replyBody);
}

Reply Member::open(ConnectionNumber connection)
{
    {
        const std::lock_guard lock(mutex_);
        if (openConnections_.count(connection) > 0) {
            return jsonReply(ok, Json::object());
        }
        if (!connections_.tryAcquire()) {
            ++refusedOpens_;
            return jsonReply(tooMany, {{"error", "connection limit"}});
        }
        openConnections_.insert(connection);
    }
    std::this_thread::sleep_for(options_.openTime);
    return jsonReply(ok, Json::object());
}

Reply Member::statement(ConnectionNumber connection, const http::Request &request)
{
    const auto call = callOf(Json::parse(request.body));
    {
        const std::lock_guard lock(mutex_);
        if (openConnections_.count(connection) == 0) {
            return jsonReply(badRequest, {{"error", "this is not a database connection"}});
        }
    }
    const SlotGuard slot(slots_);
    std::this_thread::sleep_for(options_.serviceTime + faults_.extraServiceTime());
    faults_.waitWhileFrozen();
    const std::lock_guard lock(mutex_);
    const auto result = runCall(request.path, call, connection);
    Json replyBody{{"exchange", call.exchange},
                   {"rows", result.rows},
                   {"rowCount", result.rows.size()},
                   {"mark", toText(result.logPosition.value_or(state_.log().last()))},
                   {"adopted", toText(state_.adopted())}};
    if (!result.refusal.empty()) {
        replyBody["refusal"] = result.refusal;
        replyBody["description"] = result.description;
    }
    if (!result.transaction.empty()) {
        replyBody["transaction"] = result.transaction;
    }
    if (result.repeated) {
        replyBody["repeated"] = true;
    }
    auto reply = jsonReply(result.refusal.empty() ? ok : conflict, replyBody);
    reply.allowsAnswerFaults = true;
    reply.isChange = result.changed;
    return reply;
}

CallResult Member::runCall(const std::string &path, const Call &call, ConnectionNumber connection)
{
    const bool isNewWork = call.transaction.empty();
    if (isNewWork && faults_.leaving()) {
        recordWork();
    }
    if (isNewWork && faults_.refusesWork()) {
        return {"leaving", "this member accepts no new work", Json::array(), {}, {}, false, false};
    }
    CallResult result;
    if (path == "/v1/execute") {
        result = state_.execute(call, connection, steadyMicroseconds());
    } else if (path == "/v1/begin") {
        result = state_.begin(call, connection);
    } else if (path == "/v1/commit") {
        result = state_.commit(call, connection, steadyMicroseconds());
    } else {
        result = state_.rollback(call, connection);
    }
    if (result.changed) {
        changed_.notify_all();
    }
    return result;
}

void Member::recordWork()
{
    ++workWhileLeaving_;
    lastWorkWhileLeaving_ = steadyMicroseconds();
}

Reply Member::pullLog(const http::Request &request)
{
    const auto term = parseTerm(request.parameter("term"));
    const auto after = parseLogPosition(request.parameter("afterMark"));
    if (!term || !after) {
        return jsonReply(badRequest, {{"error", "term and afterMark are required"}});
    }
    std::unique_lock lock(mutex_);
    if (*term > state_.adopted()) {
        (void)state_.adopt(*term);
        changed_.notify_all();
    }
    const auto leads = [&] {
        return state_.isPrimary() && state_.adopted() == *term;
    };
    const auto wait = Milliseconds(milliseconds(request.parameter("waitMs")));
    const auto &log = state_.log();
    const bool matches = after->index <= log.size() && log.positionAt(after->index) == *after;
    changed_.wait_for(lock, wait, [&] { return !leads() || !matches || log.size() > after->index; });
    Json replyBody{{"adopted", toText(state_.adopted())}, {"last", toText(log.last())}, {"domain", options_.domain}};
    if (!leads()) {
        replyBody["refusal"] = state_.adopted() > *term ? "lower-term" : "not-primary";
        return jsonReply(conflict, replyBody);
    }
    replyBody["matches"] = matches;
    replyBody["entries"] = Json::array();
    if (!matches) {
        const auto limit = after->index == 0 ? 0 : after->index - 1;
        replyBody["try"] = toText(log.positionAt(log.lastIndexUpTo(limit, after->term)));
        return jsonReply(ok, replyBody);
    }
    const auto end = std::min<std::uint64_t>(log.size(), after->index + maxEntriesPerPull);
    for (auto entryIndex = after->index + 1; entryIndex <= end; ++entryIndex) {
        replyBody["entries"].push_back(toJson(log.at(entryIndex)));
    }
    return jsonReply(ok, replyBody);
}

void Member::closed(ConnectionNumber connection)
{
    const std::lock_guard lock(mutex_);
    state_.closed(connection);
    if (openConnections_.erase(connection) > 0) {
        connections_.release();
    }
}

void Member::addState(Json &state)
{
    const std::lock_guard lock(mutex_);
    state["report"] = reportLocked();
    state["logLength"] = state_.log().size();
    state["rows"] = state_.log().rows();
    state["connections"] = connections_.inUse();
    state["mostConnections"] = connections_.peakInUse();
    state["refusedOpens"] = refusedOpens_;
    state["slots"] = slots_.inUse();
    state["mostSlots"] = slots_.peakInUse();
    state["mostWaitingForSlots"] = slots_.peakWaiting();
    state["openTransactions"] = state_.openTransactions();
    state["mixedStatements"] = state_.mixedStatements();
    state["primary"] = state_.primary() ? state_.primary()->name : "";
    state["workWhileLeaving"] = workWhileLeaving_;
    state["lastWorkAfterLeavingMs"] =
        lastWorkWhileLeaving_ > leavingSince_ && leavingSince_ > 0 ? (lastWorkWhileLeaving_ - leavingSince_) / 1000 : 0;
}

} // namespace cardamomstep::standins
