// The subcommands `status`, `watch` and `history`.
#include "cli/client.h"
#include "cli/commandline.h"
#include "cli/exitcode.h"
#include "cli/impl/commands.h"
#include "cli/impl/output.h"
#include "cli/impl/sessionproxyquery.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace cardamomstep::cli::impl {

namespace {

using Json = nlohmann::json;

/// How long the proxy may wait for a change before it answers a watch.
constexpr Milliseconds watchWait{20'000};

bool isOutputFormat(const std::string &text)
{
    return text == "table" || text == "json";
}

void writeStatus(std::ostream &out, const Json &status)
{
    out << "reported by " << cell(status, "instance") << ", revision " << cell(status, "revision") << ", " << cell(status, "proxyCount")
        << " proxies\n";
    std::vector<std::vector<std::string>> rows;
    for (const auto &proxy : status.value("proxies", Json::array())) {
        rows.push_back({cell(proxy, "instance"),
                        cell(proxy, "failureDomain"),
                        cell(proxy, "state"),
                        cell(proxy, "revision"),
                        cell(proxy, "silenceMs") + " ms"});
    }
    writeTable(out, {"INSTANCE", "FAILURE DOMAIN", "STATE", "REVISION", "LAST HEARD"}, rows);
}

/// Writes the status of one session proxy and of its groups.
void writeSessionStatus(std::ostream &out, const Json &status)
{
    out << cell(status, "instance") << ": configuration " << cell(status, "configurationVersion") << ", lease of "
        << (cell(status, "leaseHolder").empty() ? "(nobody)" : cell(status, "leaseHolder")) << ", primary table valid for "
        << cell(status, "viewLeftMs") << " ms, " << cell(status, "sessions") << " sessions\n";
    std::vector<std::vector<std::string>> rows;
    for (const auto &group : status.value("groups", Json::array())) {
        rows.push_back({cell(group, "group"),
                        cell(group, "primary"),
                        cell(group, "generation"),
                        group.value("held", false) ? "moving" : (group.value("usable", false) ? "usable" : "unknown"),
                        cell(group, "waiting"),
                        cell(group, "connectionsLent") + "/" + cell(group, "connections")});
    }
    writeTable(out, {"GROUP", "PRIMARY", "GENERATION", "STATE", "WAITING", "CONNECTIONS LENT"}, rows);
}

void writeHistory(std::ostream &out, const Json &entries)
{
    for (const auto &entry : entries) {
        out << timeText(entry.value("atMs", std::int64_t{0})) << " " << (cell(entry, "who").empty() ? "(unnamed)" : cell(entry, "who"))
            << " " << (entry.value("deleted", false) ? "deleted " : "changed ") << cell(entry, "kind") << "/" << cell(entry, "name")
            << " version " << cell(entry, "fromVersion") << " -> " << cell(entry, "toVersion") << "\n";
        writeChanges(out, entry.value("changes", Json::array()));
        if (entry.value("truncated", false)) {
            out << "  (some changes were left out or shortened)\n";
        }
    }
}

/// Parses a span before now ("90s", "15m", "2h", "3d") or a time in milliseconds since 1970.
///
/// Returns milliseconds since 1970; nullopt when \a text is neither.
std::optional<std::int64_t> readSince(const std::string &text)
{
    constexpr std::size_t maxDigits = 15;
    const auto unitStart = text.find_first_not_of("0123456789");
    const auto unit = unitStart == std::string::npos ? std::string() : text.substr(unitStart);
    const auto number = text.substr(0, unitStart);
    if (number.empty() || number.size() > maxDigits) {
        return std::nullopt;
    }
    const auto count = std::stoll(number);
    if (unit.empty()) {
        return count;
    }
    const auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    constexpr std::int64_t second = 1000;
    constexpr std::int64_t minute = 60 * second;
    constexpr std::int64_t hour = 60 * minute;
    constexpr std::int64_t day = 24 * hour;
    const auto factor = unit == "s" ? second : unit == "m" ? minute : unit == "h" ? hour : unit == "d" ? day : 0;
    if (factor == 0) {
        return std::nullopt;
    }
    return count > now / factor ? 0 : now - count * factor;
}

/// The revision after which to watch: \a given, else the proxy's current one.
Result<std::uint64_t> firstRevision(OperatorClient &client, std::optional<std::uint64_t> given)
{
    if (given) {
        return *given;
    }
    ApiRequest request;
    request.path = "/v1/status";
    request.query = {{"behind", "0"}};
    const auto status = client.send(request);
    if (!status) {
        return status.faults().front();
    }
    return status->value("revision", std::uint64_t{0});
}

ApiRequest watchRequest(std::uint64_t after)
{
    ApiRequest request;
    request.path = "/v1/watch";
    request.query = {{"after", std::to_string(after)}, {"waitMs", std::to_string(watchWait.count())}};
    request.extraWait = watchWait;
    return request;
}

/// Writes one change per line until \a count are written or \a out fails, for example because its reader closed the pipe.
int writeWatchedChanges(OperatorClient &client, std::uint64_t after, std::uint64_t count, std::ostream &out, std::ostream &err)
{
    std::uint64_t written = 0;
    while (out && written < count) {
        const auto answer = client.send(watchRequest(after));
        if (!answer) {
            return reportFaults(err, "watch ended; resume with --after " + std::to_string(after), answer.faults());
        }
        if (answer->value("reset", false)) {
            out << Json{{"reset", true}, {"revision", answer->value("revision", std::uint64_t{0})}} << "\n";
        }
        for (const auto &change : answer->value("changes", Json::array())) {
            if (written < count) {
                out << change.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
                ++written;
            }
        }
        out.flush();
        after = answer->value("revision", after);
    }
    return toInt(ExitCode::Ok);
}

} // namespace

int runStatus(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    CommandLine line({"status", "Shows the live proxies and the configuration that each has in force.", "", "cardamomstep status -o json"});
    addClientOptions(line);
    line.add("o,output", "output format: table or json", "FORM", "table");
    line.add("session", "query the session proxy at this metrics address instead", "ADDRESS");
    line.add("behind", "show only proxies that are behind this revision", "REVISION");
    if (const auto done = line.parse(argc, argv, {}, out, err)) {
        return *done;
    }
    const auto behind = line.number("behind");
    if (!behind || !isOutputFormat(line.text("output"))) {
        return line.usageError(err, !behind ? behind.error().description : "--output: expected table or json");
    }
    const bool asJson = line.text("output") == "json";
    if (!line.text("session").empty()) {
        const auto status = querySessionProxy(Address{line.text("session")}, http::Request{"GET", "/status", {}, {}, {}});
        if (!status) {
            return reportFaults(err, "", status.faults());
        }
        asJson ? writeJson(out, *status) : writeSessionStatus(out, *status);
        return toInt(ExitCode::Ok);
    }
    auto options = readClientOptions(line);
    if (!options) {
        return reportFaults(err, "", options.faults());
    }
    OperatorClient client(std::move(*options));
    ApiRequest request;
    request.path = "/v1/status";
    if (*behind) {
        request.query["behind"] = std::to_string(**behind);
    }
    const auto status = client.send(request);
    if (!status) {
        return reportFaults(err, "", status.faults());
    }
    asJson ? writeJson(out, *status) : writeStatus(out, *status);
    return toInt(ExitCode::Ok);
}

int runWatch(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    CommandLine line(
        {"watch",
         "Watches changes of records, one JSON object per line. A line {\"reset\":true} means that some changes are no longer\n"
         "available: read the records again.",
         "",
         "cardamomstep watch --count 1"});
    addClientOptions(line);
    line.add("after", "start after this revision instead of the current one", "REVISION");
    line.add("count", "stop after this many changes", "N");
    if (const auto done = line.parse(argc, argv, {}, out, err)) {
        return *done;
    }
    const auto after = line.number("after");
    const auto count = line.number("count");
    if (!after || !count) {
        return line.usageError(err, !after ? after.error().description : count.error().description);
    }
    auto options = readClientOptions(line);
    if (!options) {
        return reportFaults(err, "", options.faults());
    }
    OperatorClient client(std::move(*options));
    const auto first = firstRevision(client, *after);
    if (!first) {
        return reportFaults(err, "", {first.error()});
    }
    return writeWatchedChanges(client, *first, count->value_or(UINT64_MAX), out, err);
}

int runHistory(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    CommandLine line({"history",
                      "Shows who changed what and when, newest first.",
                      "",
                      "cardamomstep history --kind DatabaseGroup --name ledger-1 --since 2h"});
    addClientOptions(line);
    line.add("kind", "only records of this kind", "KIND");
    line.add("name", "only the record of this name", "NAME");
    line.add("who", "only changes by this operator", "NAME");
    line.add("since", "only changes of the last 90s, 15m, 2h or 3d, or since a time in milliseconds since 1970", "TIME");
    line.add("limit", "largest number of entries, up to 1000", "N", "50");
    line.add("o,output", "output format: table or json", "FORM", "table");
    if (const auto done = line.parse(argc, argv, {}, out, err)) {
        return *done;
    }
    ApiRequest request;
    request.path = "/v1/history";
    for (const char *name : {"kind", "name", "who", "limit"}) {
        request.query[name] = line.text(name);
    }
    const auto since = readSince(line.text("since"));
    if (line.has("since") && !since) {
        return line.usageError(err, "--since: expected 90s, 15m, 2h, 3d or milliseconds since 1970");
    }
    request.query["since"] = std::to_string(since.value_or(0));
    if (!isOutputFormat(line.text("output"))) {
        return line.usageError(err, "--output: expected table or json");
    }
    auto options = readClientOptions(line);
    if (!options) {
        return reportFaults(err, "", options.faults());
    }
    const auto history = OperatorClient(std::move(*options)).send(request);
    if (!history) {
        return reportFaults(err, "", history.faults());
    }
    const auto entries = history->value("entries", Json::array());
    if (line.text("output") == "json") {
        writeJson(out, entries);
    } else {
        writeHistory(out, entries);
    }
    return toInt(ExitCode::Ok);
}

} // namespace cardamomstep::cli::impl
