// The subcommand `explain`: shows the events of a request from log files.
#include "cli/commandline.h"
#include "cli/exitcode.h"
#include "cli/impl/commands.h"
#include "cli/requesttimeline.h"

#include <fstream>
#include <string_view>

namespace cardamomstep::cli::impl {

namespace {

void print(std::ostream &out, const std::vector<LogLine> &lines)
{
    for (const auto &line : lines) {
        out << line.time << " " << line.instance << " " << line.event;
        for (const auto &[key, value] : line.fields) {
            if (key != "id" && key != "level") {
                out << " " << key << "=" << value;
            }
        }
        out << "\n";
    }
}

} // namespace

int runExplain(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    if (argc > 1 && std::string_view(argv[1]) == "route") {
        return runExplainRoute(argc - 1, argv + 1, out, err);
    }
    constexpr std::size_t maxLogs = 10'000;
    CommandLine line({"explain",
                      "Shows the events of a request from the logs of all proxies. `explain route` shows how a statement would be routed.",
                      "LOG...",
                      "cardamomstep explain --id 5c0e7a21 *.log"});
    line.add("id", "id of a statement, of the statement that began its transaction, or of the first statement of its session setup", "ID");
    if (const auto done = line.parse(argc, argv, {1, maxLogs}, out, err)) {
        return *done;
    }
    if (line.text("id").empty()) {
        return line.usageError(err, "--id ID is required");
    }
    RequestTimeline timeline(line.text("id"));
    for (const auto &file : line.arguments()) {
        std::ifstream log(file);
        if (!log) {
            return line.usageError(err, "cannot read " + file);
        }
        timeline.read(log);
    }
    const auto lines = timeline.lines();
    if (lines.empty()) {
        err << "cardamomstep explain: no log mentions the request " << line.text("id")
            << "; it reached none of these processes, or its log line was dropped\n";
        return toInt(ExitCode::Failed);
    }
    out << "Last state changes before the request's events:\n";
    print(out, timeline.stateChanges());
    out << "Events of the request:\n";
    print(out, lines);
    return toInt(ExitCode::Ok);
}

} // namespace cardamomstep::cli::impl
