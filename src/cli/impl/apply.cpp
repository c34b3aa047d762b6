// The subcommands `apply` and `diff`: apply record files, or show what applying them would change.
#include "cli/client.h"
#include "cli/commandline.h"
#include "cli/exitcode.h"
#include "cli/impl/changeresult.h"
#include "cli/impl/commands.h"
#include "cli/impl/output.h"
#include "cli/impl/sources.h"
#include "cli/impl/wait.h"

#include <algorithm>
#include <optional>
#include <string>

namespace cardamomstep::cli::impl {

namespace {

constexpr std::uint64_t millisecondsInSecond = 1000;
constexpr std::uint64_t maxWaitSeconds = 3600;

/// How to apply the records.
struct ApplyOptions {
    bool dryRun = false;
    /// True to write only the differences, for `diff`.
    bool onlyDifferences = false;
    std::optional<std::uint64_t> expected;
};

/// The result for all records.
struct ApplyOutcome {
    ExitCode code = ExitCode::Ok;
    /// The highest version that was written; 0 when nothing was written.
    std::uint64_t version = 0;
    bool anyDifference = false;
};

ApiRequest requestFor(const Record &record, const ApplyOptions &options, std::uint64_t minRevision)
{
    ApiRequest request;
    request.method = "PUT";
    request.path = "/v1/records/" + toText(record.key());
    request.body = writeRecord(record);
    request.expected = options.expected;
    request.minRevision = minRevision;
    if (options.dryRun) {
        request.query["dryRun"] = "1";
    }
    return request;
}

std::string fieldCount(std::size_t count)
{
    return std::to_string(count) + (count == 1 ? " field" : " fields");
}

void writeOutcome(std::ostream &out, const std::string &subject, const ChangeResult &result, const ApplyOptions &options)
{
    if (options.onlyDifferences) {
        if (!result.changes.empty()) {
            out << subject << "\n";
            writeChanges(out, result.changes);
        }
        return;
    }
    out << subject << ": ";
    if (result.changes.empty()) {
        out << "unchanged at version " << result.version << "\n";
    } else if (options.dryRun) {
        out << "would change " << fieldCount(result.changes.size()) << " of version " << result.fromVersion << "\n";
    } else {
        out << "version " << result.version << " (" << fieldCount(result.changes.size()) << " changed)\n";
    }
    out.flush();
}

void writeNotes(std::ostream &err, const std::string &subject, const ChangeResult &result)
{
    std::string unknown;
    for (const auto &field : result.unknownFields) {
        unknown += (unknown.empty() ? "" : ", ") + field;
    }
    if (!unknown.empty()) {
        err << "cardamomstep: " << subject << ": note: kept, but not known to this release: " << unknown << "\n";
    }
    if (result.auditMissing) {
        err << "cardamomstep: " << subject << ": note: accepted, but the audit entry could not be written\n";
    }
}

Checked<ChangeResult> applyOne(OperatorClient &client, const ApiRequest &request)
{
    const auto answer = client.send(request);
    if (!answer) {
        return answer.faults();
    }
    auto result = readChangeResult(*answer);
    if (!result) {
        return std::vector<Error>{result.error()};
    }
    return std::move(*result);
}

void addResult(const ChangeResult &result, ApplyOutcome &outcome)
{
    outcome.anyDifference = outcome.anyDifference || !result.changes.empty();
    if (result.written) {
        outcome.version = std::max(outcome.version, result.version);
    }
}

ApplyOutcome applyAll(
    OperatorClient &client, const std::vector<SourceRecord> &sources, const ApplyOptions &options, std::ostream &out, std::ostream &err)
{
    ApplyOutcome outcome;
    std::size_t done = 0;
    for (const auto &source : sources) {
        const auto subject = toText(source.record.key());
        const auto result = applyOne(client, requestFor(source.record, options, outcome.version));
        if (!result) {
            outcome.code = static_cast<ExitCode>(reportFaults(err, source.file + ": " + subject, result.faults()));
            if (done + 1 < sources.size()) {
                err << "cardamomstep: stopped here: " << done << " done, " << sources.size() - done - 1 << " not tried\n";
            }
            return outcome;
        }
        ++done;
        addResult(*result, outcome);
        writeOutcome(out, subject, *result, options);
        writeNotes(err, subject, *result);
    }
    return outcome;
}

/// The client options and the records that a command line names.
struct Inputs {
    ClientOptions client;
    std::vector<SourceRecord> sources;
};

std::optional<int> readInputs(const CommandLine &line, Inputs &inputs, std::ostream &err)
{
    if (!line.has("file")) {
        return line.usageError(err, "--file FILE, DIR or - is required");
    }
    auto client = readClientOptions(line);
    if (!client) {
        return reportFaults(err, "", client.faults());
    }
    auto sources = readSources(line.text("file"));
    if (!sources) {
        return reportFaults(err, "", sources.faults());
    }
    if (sources->empty()) {
        return line.usageError(err, "there are no records in " + line.text("file"));
    }
    inputs = {std::move(*client), std::move(*sources)};
    return std::nullopt;
}

int finishApply(const CommandLine &line, OperatorClient &client, const ApplyOutcome &outcome, std::uint64_t waitSeconds, std::ostream &err)
{
    if (outcome.code != ExitCode::Ok || outcome.version == 0 || !line.has("wait")) {
        return toInt(outcome.code);
    }
    return toInt(waitInForce(client, outcome.version, Milliseconds{waitSeconds * millisecondsInSecond}, err));
}

} // namespace

int runApply(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    CommandLine line(
        {"apply", "Creates or changes records. Stops at the first one that is refused.", "", "cardamomstep apply -f records/ --wait"});
    addClientOptions(line);
    line.add("f,file", "file with one record or an array of them, folder of *.json files, or - for standard input", "FILE");
    line.addFlag("dry-run", "check only, change nothing");
    line.add("expect", "change only this version; 0: create only (one record)", "VERSION");
    line.addFlag("wait", "wait until the change is in force on every live proxy");
    line.add("wait-seconds", "longest wait with --wait, in seconds", "N", "30");
    if (const auto done = line.parse(argc, argv, {}, out, err)) {
        return *done;
    }
    const auto expected = line.number("expect");
    const auto wait = line.number("wait-seconds");
    if (!expected || !wait || **wait > maxWaitSeconds) {
        return line.usageError(err, !expected ? expected.error().description : "--wait-seconds: expected 0 to 3600");
    }
    Inputs inputs;
    if (const auto done = readInputs(line, inputs, err)) {
        return *done;
    }
    if (*expected && inputs.sources.size() > 1) {
        return line.usageError(err, "--expect needs exactly one record, got " + std::to_string(inputs.sources.size()));
    }
    OperatorClient client(std::move(inputs.client));
    const auto outcome = applyAll(client, inputs.sources, {line.has("dry-run"), false, *expected}, out, err);
    return finishApply(line, client, outcome, **wait, err);
}

int runDiff(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    CommandLine line({"diff", "Shows what apply would change, field by field.", "", "cardamomstep diff -f records/ledger-1.json"});
    addClientOptions(line);
    line.add("f,file", "file with one record or an array of them, folder of *.json files, or - for standard input", "FILE");
    line.addFlag("exit-code", "exit with 1 when there are differences");
    if (const auto done = line.parse(argc, argv, {}, out, err)) {
        return *done;
    }
    Inputs inputs;
    if (const auto done = readInputs(line, inputs, err)) {
        return *done;
    }
    OperatorClient client(std::move(inputs.client));
    const auto outcome = applyAll(client, inputs.sources, {true, true, std::nullopt}, out, err);
    const bool differs = outcome.anyDifference && line.has("exit-code");
    return outcome.code == ExitCode::Ok && differs ? toInt(ExitCode::Failed) : toInt(outcome.code);
}

} // namespace cardamomstep::cli::impl
