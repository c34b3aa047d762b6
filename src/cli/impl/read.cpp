// The subcommands `get`, `delete` and `check-settings`.
#include "settings/read.h"
#include "cli/client.h"
#include "cli/commandline.h"
#include "cli/exitcode.h"
#include "cli/impl/changeresult.h"
#include "cli/impl/commands.h"
#include "cli/impl/output.h"
#include "settings/sessionsettings.h"

#include <optional>
#include <string>

namespace cardamomstep::cli::impl {

namespace {

using Json = nlohmann::json;

enum class Output : std::uint8_t {
    Table,
    Json,
    Record,
};

std::optional<Output> readOutputFormat(const std::string &text)
{
    if (text == "table") {
        return Output::Table;
    }
    if (text == "json") {
        return Output::Json;
    }
    return text == "record" ? std::optional<Output>(Output::Record) : std::nullopt;
}

/// A record's content in one line: its number of members, else its spec as JSON, shortened.
std::string summaryOf(const Json &record)
{
    constexpr std::size_t maxLength = 80;
    const auto spec = record.value("spec", Json::object());
    auto text = spec.contains("members") && spec["members"].is_array() ? std::to_string(spec["members"].size()) + " members"
                                                                       : spec.dump(-1, ' ', false, Json::error_handler_t::replace);
    return text.size() > maxLength ? text.substr(0, maxLength) + "..." : text;
}

std::vector<std::string> rowOf(const Json &item)
{
    const auto record = item.value("record", Json::object());
    return {cell(record, "kind"), cell(record, "name"), cell(item, "version"), cell(record, "schema"), summaryOf(record)};
}

void writeRecords(std::ostream &out, const Json &items, Output output, bool single)
{
    if (output == Output::Json) {
        writeJson(out, single ? items.at(0) : items);
        return;
    }
    if (output == Output::Record) {
        auto records = Json::array();
        for (const auto &item : items) {
            records.push_back(item.value("record", Json::object()));
        }
        writeJson(out, single ? records.at(0) : records);
        return;
    }
    std::vector<std::vector<std::string>> rows;
    for (const auto &item : items) {
        rows.push_back(rowOf(item));
    }
    writeTable(out, {"KIND", "NAME", "VERSION", "SCHEMA", "SUMMARY"}, rows);
}

/// Reads all pages of the list of \a kind.
Checked<Json> readList(OperatorClient &client, RecordKind kind)
{
    ApiRequest request;
    request.path = "/v1/records/" + std::string(toText(kind));
    auto items = Json::array();
    for (;;) {
        const auto page = client.send(request);
        if (!page) {
            return page.faults();
        }
        for (const auto &item : page->value("records", Json::array())) {
            items.push_back(item);
        }
        const auto next = page->value("next", std::string());
        if (next.empty()) {
            return items;
        }
        request.query["after"] = next;
    }
}

Checked<Json> readOne(OperatorClient &client, const RecordKey &key, std::ostream &err)
{
    ApiRequest request;
    request.path = "/v1/records/" + toText(key);
    auto answer = client.send(request);
    if (!answer) {
        return answer.faults();
    }
    if (cell(*answer, "source") == "cache") {
        err << "cardamomstep: " << toText(key) << ": note: the store is unavailable; this is the record in force at the proxy\n";
    }
    return Json::array({std::move(*answer)});
}

} // namespace

int runGet(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    CommandLine line(
        {"get",
         "Reads one record or all records of a kind: DatabaseGroup, RoutingIntent, StopPlan, Customer, GroupStatus, InstanceStatus,\n"
         "PlanStatus. The format \"record\" can be edited and applied again.",
         "KIND [NAME]",
         "cardamomstep get DatabaseGroup ledger-1 -o record > ledger-1.json"});
    addClientOptions(line);
    line.add("o,output", "output format: table, json (with versions) or record", "FORM", "table");
    if (const auto done = line.parse(argc, argv, {1, 2}, out, err)) {
        return *done;
    }
    const auto kind = readKind(line.arguments()[0]);
    const auto output = readOutputFormat(line.text("output"));
    if (!kind || !output) {
        return line.usageError(err, !kind ? kind.error().description : "--output: expected table, json or record");
    }
    auto options = readClientOptions(line);
    if (!options) {
        return reportFaults(err, "", options.faults());
    }
    OperatorClient client(std::move(*options));
    const bool single = line.arguments().size() == 2;
    const RecordKey key{*kind, RecordName{single ? line.arguments()[1] : std::string()}};
    const auto items = single ? readOne(client, key, err) : readList(client, *kind);
    if (!items) {
        return reportFaults(err, single ? toText(key) : std::string(toText(*kind)), items.faults());
    }
    writeRecords(out, *items, *output, single);
    return toInt(ExitCode::Ok);
}

int runDelete(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    CommandLine line({"delete", "Deletes a record.", "KIND NAME", "cardamomstep delete StopPlan rack-7 --expect 1204"});
    addClientOptions(line);
    line.add("expect", "delete only this version", "VERSION");
    line.addFlag("dry-run", "check only, delete nothing");
    if (const auto done = line.parse(argc, argv, {2, 2}, out, err)) {
        return *done;
    }
    const auto kind = readKind(line.arguments()[0]);
    const auto expected = line.number("expect");
    if (!kind || !expected) {
        return line.usageError(err, !kind ? kind.error().description : expected.error().description);
    }
    auto options = readClientOptions(line);
    if (!options) {
        return reportFaults(err, "", options.faults());
    }
    OperatorClient client(std::move(*options));
    const RecordKey key{*kind, RecordName{line.arguments()[1]}};
    ApiRequest request;
    request.method = "DELETE";
    request.path = "/v1/records/" + toText(key);
    request.expected = *expected;
    if (line.has("dry-run")) {
        request.query["dryRun"] = "1";
    }
    const auto answer = client.send(request);
    if (!answer) {
        return reportFaults(err, toText(key), answer.faults());
    }
    const auto result = readChangeResult(*answer);
    if (!result) {
        return reportFaults(err, toText(key), {result.error()});
    }
    out << toText(key) << ": " << (line.has("dry-run") ? "would delete" : "deleted") << " version " << result->fromVersion << "\n";
    if (result->auditMissing) {
        err << "cardamomstep: " << toText(key) << ": note: deleted, but the audit entry could not be written\n";
    }
    return toInt(ExitCode::Ok);
}

int runCheckSettings(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    CommandLine line(
        {"check-settings", "Checks a settings file and reports every fault.", "FILE", "cardamomstep check-settings proxy-1.json"});
    line.addFlag("session", "the file holds settings of a session proxy (docs/PLATFORM.md)");
    if (const auto done = line.parse(argc, argv, {1, 1}, out, err)) {
        return *done;
    }
    const auto &file = line.arguments()[0];
    const auto report = [&](const auto &settings) {
        if (!settings) {
            static_cast<void>(reportFaults(err, "", settings.faults()));
            return toInt(ExitCode::Usage);
        }
        out << file << ": ok\n";
        return toInt(ExitCode::Ok);
    };
    return line.has("session") ? report(readSessionSettingsFile(file)) : report(readSettingsFile(file));
}

} // namespace cardamomstep::cli::impl
