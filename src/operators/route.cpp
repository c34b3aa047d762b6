// Parses operators' requests.
#include "operators/route.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace cardamomstep::operators {

namespace {

Error malformed(std::string description)
{
    return Error{ErrorKind::MalformedRequest, std::move(description)};
}

std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < path.size()) {
        const auto end = std::min(path.find('/', begin), path.size());
        if (end > begin) {
            parts.push_back(path.substr(begin, end - begin));
        }
        begin = end + 1;
    }
    return parts;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (read.ec != std::errc{} || read.ptr != end) {
        return std::nullopt;
    }
    return value;
}

Result<Route> readRecordRoute(const http::Request &request, const std::vector<std::string> &parts)
{
    constexpr std::size_t partsWithName = 4;
    Route route;
    const auto kind = recordKindFromText(parts[2]);
    if (!kind) {
        return Error{ErrorKind::NotFound, "there is no kind \"" + parts[2].substr(0, maxNameLength) + "\""};
    }
    route.key.kind = *kind;
    const bool named = parts.size() == partsWithName;
    if (named && !isValidName(parts[3])) {
        return malformed("the name is not valid");
    }
    route.key.name = RecordName{named ? parts[3] : std::string()};
    if (request.method == "GET") {
        route.action = named ? Action::GetRecord : Action::ListRecords;
    } else if (request.method == "PUT" && named) {
        route.action = Action::PutRecord;
    } else if (request.method == "DELETE" && named) {
        route.action = Action::DeleteRecord;
    } else {
        return malformed("this path does not support " + request.method);
    }
    return route;
}

Result<Route> readPath(const http::Request &request)
{
    constexpr std::size_t partsOfKind = 3;
    constexpr std::size_t partsWithName = 4;
    const auto parts = splitPath(request.path);
    if (parts.size() < 2 || parts[0] != "v1") {
        return Error{ErrorKind::NotFound, "there is no such path"};
    }
    if (parts[1] == "records" && (parts.size() == partsOfKind || parts.size() == partsWithName)) {
        return readRecordRoute(request, parts);
    }
    Route route;
    if (parts.size() != 2 || (parts[1] != "status" && parts[1] != "watch" && parts[1] != "history")) {
        return Error{ErrorKind::NotFound, "there is no such path"};
    }
    if (request.method != "GET") {
        return malformed("this path does not support " + request.method);
    }
    if (parts[1] == "watch") {
        route.action = Action::Watch;
    } else if (parts[1] == "history") {
        route.action = Action::History;
    }
    return route;
}

bool isPrintable(const std::string &text)
{
    constexpr char firstPrintable = ' ';
    constexpr char lastPrintable = '~';
    return std::all_of(text.begin(), text.end(), [](char character) { return character >= firstPrintable && character <= lastPrintable; });
}

} // namespace

Result<Route> readRoute(const http::Request &request)
{
    auto route = readPath(request);
    if (!route) {
        return route;
    }
    route->who = request.header("x-operator");
    if (route->who.size() > maxOperatorNameBytes || !isPrintable(route->who)) {
        return malformed("x-operator: expected at most 128 printable characters");
    }
    const auto expected = request.header("if-match");
    route->expected = parseNumber(expected);
    if (!expected.empty() && !route->expected) {
        return malformed("if-match: expected a version");
    }
    const auto revision = request.header("x-min-revision");
    route->minRevision = parseNumber(revision).value_or(0);
    if (!revision.empty() && !parseNumber(revision)) {
        return malformed("x-min-revision: expected a revision");
    }
    route->dryRun = request.parameter("dryRun") == "1";
    return route;
}

Result<std::uint64_t> numberParameter(const http::Request &request, const std::string &name, std::uint64_t fallback, NumberRange range)
{
    const auto text = request.parameter(name);
    if (text.empty()) {
        return fallback;
    }
    const auto value = parseNumber(text);
    if (!value || *value < range.lowest || *value > range.highest) {
        return malformed(name + ": expected a whole number from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest));
    }
    return *value;
}

bool isAuthorized(const http::Request &request, std::string_view token) noexcept
{
    constexpr std::string_view scheme = "Bearer ";
    const auto found = request.headers.find("authorization");
    if (found == request.headers.end() || token.empty()) {
        return false;
    }
    const std::string_view given = found->second;
    if (given.substr(0, scheme.size()) != scheme) {
        return false;
    }
    const auto presented = given.substr(scheme.size());
    unsigned different = presented.size() == token.size() ? 0 : 1;
    for (std::size_t index = 0; index < presented.size(); ++index) {
        different |= static_cast<unsigned char>(presented[index]) ^ static_cast<unsigned char>(token[index % token.size()]);
    }
    return different == 0;
}

} // namespace cardamomstep::operators
