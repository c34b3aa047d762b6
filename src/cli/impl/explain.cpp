// The subcommand `explain`.
#include "cli/commandline.h"
#include "cli/exitcode.h"
#include "cli/impl/commands.h"
#include "cli/requesttimeline.h"

#include <fstream>

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
    constexpr std::size_t mostLogs = 10'000;
    CommandLine line(
        {"explain", "Tells a request's story from the logs of all proxies.", "LOG...", "cardamomstep explain --id 5c0e7a21 *.log"});
    line.add("id", "the id of the statement, of the one that began its transaction, or of the first that set the session up for it", "ID");
    if (const auto done = line.parse(argc, argv, {1, mostLogs}, out, err)) {
        return *done;
    }
    if (line.text("id").empty()) {
        return line.usageError(err, "--id ID is required");
    }
    RequestStory story(line.text("id"));
    for (const auto &file : line.arguments()) {
        std::ifstream log(file);
        if (!log) {
            return line.usageError(err, "cannot read " + file);
        }
        story.read(log);
    }
    const auto lines = story.lines();
    if (lines.empty()) {
        err << "cardamomstep explain: no log tells of " << line.text("id")
            << "; it reached none of these processes, or its line was dropped\n";
        return toInt(ExitCode::Failed);
    }
    out << "What was believed:\n";
    print(out, story.beliefs());
    out << "What happened:\n";
    print(out, lines);
    return toInt(ExitCode::Ok);
}

} // namespace cardamomstep::cli::impl
