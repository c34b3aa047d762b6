// Parses callers' requests and writes the responses.
#include "entry/callercodec.h"

#include "json/reader.h"
#include "json/untrusted.h"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

namespace cardamomstep::entry {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t millisecondsInSecond = 1000;

enum class Path : std::uint8_t {
    Statements,
    Transactions,
    Commit,
    Rollback,
    Outcome,
};

/// The parsed path of a request.
struct Route {
    Path path = Path::Statements;
    std::string service;
    /// Transaction or request id.
    std::string id;
};

std::vector<std::string> split(const std::string &path)
{
    std::vector<std::string> parts;
    std::istringstream in(path);
    std::string part;
    while (std::getline(in, part, '/')) {
        parts.push_back(part);
    }
    return parts;
}

Error malformed(std::string text)
{
    return Error{ErrorKind::MalformedRequest, std::move(text)};
}

/// Parses a path: /v1/services/SERVICE/statements, .../transactions, .../transactions/ID/commit|rollback, .../requests/ID.
Result<Route> readRoute(const http::Request &request)
{
    const auto parts = split(request.path);
    const Error unknown{ErrorKind::NotFound, "no such path"};
    if (parts.size() < 5 || !parts[0].empty()) {
        return unknown;
    }
    if (parts[1] != "v1") {
        return Error{ErrorKind::UnsupportedVersion, "this proxy speaks interface version v1"};
    }
    if (parts[2] != "services") {
        return unknown;
    }
    const bool post = request.method == "POST";
    Route route{Path::Statements, parts[3], ""};
    if (post && parts.size() == 5 && parts[4] == "statements") {
        return route;
    }
    if (post && parts.size() == 5 && parts[4] == "transactions") {
        route.path = Path::Transactions;
        return route;
    }
    if (parts.size() >= 6) {
        route.id = parts[5];
    }
    if (post && parts.size() == 7 && parts[4] == "transactions" && (parts[6] == "commit" || parts[6] == "rollback")) {
        route.path = parts[6] == "commit" ? Path::Commit : Path::Rollback;
        return route;
    }
    if (request.method == "GET" && parts.size() == 6 && parts[4] == "requests") {
        route.path = Path::Outcome;
        return route;
    }
    return unknown;
}

Result<Json> readBody(const http::Request &request)
{
    auto body = json::parseUntrusted(request.body);
    if (!body.is_object()) {
        return malformed("the body is not a JSON object");
    }
    return body;
}

Error firstFault(const std::vector<json::Fault> &faults)
{
    const auto &fault = faults.front();
    return malformed(fault.path + ": " + fault.description);
}

Milliseconds readWindow(json::ObjectReader &reader, const CallerLimits &limits)
{
    return Milliseconds{reader.number<std::int64_t>("windowMs", {1, limits.maxWindow.count()}, limits.defaultWindow.count())};
}

/// Reads the fields that all bodies have.
void readCommon(json::ObjectReader &reader, const CallerLimits &limits, Statement &statement)
{
    statement.window = readWindow(reader, limits);
    // A token that is too long passes here: readStatement() reports it as TooLarge.
    statement.session = reader.optionalText("session", {0, std::numeric_limits<std::size_t>::max()}).value_or("");
    statement.requestId = RequestId{reader.optionalText("requestId", {1, limits.nameBytes}).value_or("")};
}

void readExecute(json::ObjectReader &reader, const CallerLimits &limits, Statement &statement)
{
    const auto access = reader.text("access", {1, 8});
    if (access != "read" && access != "write") {
        reader.fault("access", "expected \"read\" or \"write\"");
    }
    statement.access = access == "write" ? Access::Write : Access::Read;
    statement.operation = reader.text("operation", {1, limits.nameBytes});
    statement.key = reader.text("key", {1, limits.keyBytes});
    const auto *arguments = reader.find("arguments");
    if (arguments != nullptr && !arguments->is_object()) {
        reader.fault("arguments", "expected an object");
    }
    statement.arguments = arguments == nullptr ? "{}" : arguments->dump(-1, ' ', false, Json::error_handler_t::replace);
    if (const auto age = reader.optionalNumber<std::int64_t>("acceptedAgeMs", {0, limits.maxAcceptedAge.count()})) {
        statement.acceptedAge = Milliseconds{*age};
    }
    if (statement.acceptedAge && statement.access == Access::Write) {
        reader.fault("acceptedAgeMs", "expected no accepted age on a write");
    }
    statement.idempotent = reader.boolean("idempotent", false);
    statement.transaction = TransactionId{reader.optionalText("transaction", {1, limits.nameBytes}).value_or("")};
}

void readByPath(json::ObjectReader &reader, const Route &route, const CallerLimits &limits, Statement &statement)
{
    readCommon(reader, limits, statement);
    switch (route.path) {
    case Path::Statements:
        readExecute(reader, limits, statement);
        break;
    case Path::Transactions:
        statement.verb = Verb::Begin;
        statement.key = reader.text("key", {1, limits.keyBytes});
        break;
    case Path::Commit:
    case Path::Rollback:
        statement.verb = route.path == Path::Commit ? Verb::Commit : Verb::Rollback;
        statement.access = Access::Write;
        statement.transaction = TransactionId{route.id};
        break;
    case Path::Outcome:
        break;
    }
    reader.rejectUnknown();
}

Result<Statement> readOutcome(const http::Request &request, const Route &route, const CallerLimits &limits)
{
    Statement statement;
    statement.verb = Verb::Outcome;
    statement.service = ServiceName{route.service};
    statement.requestId = RequestId{route.id};
    statement.key = request.parameter("key");
    statement.session = request.header("x-session");
    statement.window = limits.defaultWindow;
    if (statement.key.empty() || statement.key.size() > limits.keyBytes) {
        return malformed("key: expected the key of the request as a query parameter");
    }
    return statement;
}

std::string errorName(const Answer &answer)
{
    return std::string(answerRule(answer.error->kind).name);
}

void addFailure(Json &body, http::Response &response, const Answer &answer)
{
    const auto &error = *answer.error;
    response.status = answerRule(error.kind).status;
    body["error"] = errorName(answer);
    body["description"] = error.description;
    if (error.retryAfter) {
        const auto milliseconds = error.retryAfter->count();
        body["retryAfterMs"] = milliseconds;
        response.headers["retry-after"] = std::to_string((milliseconds + millisecondsInSecond - 1) / millisecondsInSecond);
    }
}

void addSuccess(Json &body, const Answer &answer)
{
    body["rowCount"] = answer.rowCount;
    body["mark"] = toText(answer.position);
    body["servedBy"] = answer.servedBy.text();
    body["fromReplica"] = answer.fromReplica;
    if (!answer.transaction.empty()) {
        body["transaction"] = answer.transaction.text();
    }
}

} // namespace

Result<Statement> readStatement(const http::Request &request, const CallerLimits &limits)
{
    const auto route = readRoute(request);
    if (!route) {
        return route.error();
    }
    if (route->service.size() > limits.nameBytes || route->id.size() > limits.nameBytes) {
        return malformed("a name in the path is too long");
    }
    if (route->path == Path::Outcome) {
        return readOutcome(request, *route, limits);
    }
    const auto body = readBody(request);
    if (!body) {
        return body.error();
    }
    Statement statement;
    statement.service = ServiceName{route->service};
    std::vector<json::Fault> faults;
    json::ObjectReader reader(*body, "", faults);
    readByPath(reader, *route, limits, statement);
    if (!faults.empty()) {
        return firstFault(faults);
    }
    if (statement.session.size() > limits.tokenBytes) {
        return Error{ErrorKind::TooLarge, "the session token exceeds " + std::to_string(limits.tokenBytes) + " bytes"};
    }
    return statement;
}

http::Response writeAnswer(const Answer &answer, const RequestId &requestId)
{
    http::Response response;
    response.headers["content-type"] = "application/json";
    Json body{{"ran", toText(answer.ran)}, {"requestId", requestId.text()}, {"session", answer.session}};
    if (answer.error) {
        addFailure(body, response, answer);
        response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
        return response;
    }
    addSuccess(body, answer);
    // The rows are a JSON array that was validated before: they are inserted as text instead of being parsed again.
    response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    response.body.pop_back();
    response.body += ",\"rows\":" + answer.rows + "}";
    return response;
}

} // namespace cardamomstep::entry
