// The subcommand `replay`: replays a recorded trace.
#include "app/replaycommand.h"

#include "trace/replay.h"

#include <fstream>
#include <string>

namespace cardamomstep {

namespace {

constexpr int exitUsage = 2;

constexpr const char *help = "Usage: cardamomstep replay FILE\n\n"
                             "Replays a recorded trace and compares the decisions with the recorded ones.\n"
                             "Exit codes: 0 the same, 1 different (both decisions are printed), 2 bad usage or an unreadable trace.\n\n"
                             "Example: cardamomstep replay proxy-1.trace.ledger-1.jsonl\n";

} // namespace

int runReplayCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    const std::string argument = argc == 2 ? argv[1] : "";
    if (argument == "--help" || argument == "-h") {
        out << help;
        return 0;
    }
    if (argument.empty() || argument.front() == '-') {
        err << "cardamomstep replay: expected one FILE; see cardamomstep replay --help\n";
        return exitUsage;
    }
    std::ifstream file(argument);
    if (!file) {
        err << "cardamomstep replay: cannot read " << argument << "\n";
        return exitUsage;
    }
    return static_cast<int>(trace::runReplay(file, out, err));
}

} // namespace cardamomstep
