// Dispatches to subcommands and writes the program's help.
#include "cli/run.h"

#include "cli/impl/commands.h"
#include "json/nearest.h"

#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <string_view>

namespace cardamomstep::cli {

namespace {

constexpr int nameWidth = 16;

void writeHelp(std::ostream &out, const std::vector<Subcommand> &subcommands)
{
    out << "Database proxy with session consistency.\n\nUsage:\n  cardamomstep COMMAND [OPTION...]\n\nCommands:\n" << std::left;
    for (const auto &subcommand : subcommands) {
        out << "  " << std::setw(nameWidth) << subcommand.name << subcommand.summary << "\n";
    }
    out << "\n'cardamomstep COMMAND --help' shows a command's options and an example.\n"
           "Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings, 3 conflict, 4 unreachable, 5 outcome unknown.\n";
}

int refuseUnknown(const std::string &name, const std::vector<Subcommand> &subcommands, std::ostream &err)
{
    std::vector<std::string> names;
    names.reserve(subcommands.size());
    for (const auto &subcommand : subcommands) {
        names.push_back(subcommand.name);
    }
    err << "cardamomstep: there is no command \"" << name << "\"";
    if (const auto nearest = json::nearestWord(name, names)) {
        err << "; did you mean \"" << *nearest << "\"?";
    }
    err << "\n";
    return toInt(ExitCode::Usage);
}

/// Runs \a subcommand; an answer with fields of unexpected types ends it with ExitCode::OutcomeUnknown.
int runOne(const Subcommand &subcommand, int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    try {
        return subcommand.run(argc, argv, out, err);
    } catch (const nlohmann::json::exception &) {
        err << "cardamomstep " << subcommand.name << ": the proxy's answer has an unexpected format\n";
        return toInt(ExitCode::OutcomeUnknown);
    }
}

/// True when \a out failed because its reader closed the pipe; only standard output can fail for another reason.
bool isPipeClosed(const std::ostream &out)
{
    if (&out != &std::cout) {
        return true;
    }
    pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
    return poll(&descriptor, 1, 0) > 0 && (descriptor.revents & POLLERR) != 0;
}

/// Flushes \a out and returns the exit code; a pipe that its reader closed early is not a failure.
int finishOutput(int code, std::ostream &out, std::ostream &err)
{
    out.flush();
    if (out || isPipeClosed(out)) {
        return code;
    }
    err << "cardamomstep: the output cannot be written\n";
    return code == toInt(ExitCode::Ok) ? toInt(ExitCode::Failed) : code;
}

} // namespace

std::vector<Subcommand> operatorSubcommands()
{
    return {{"apply", "create or change records", impl::runApply},
            {"get", "read records", impl::runGet},
            {"diff", "show what apply would change", impl::runDiff},
            {"delete", "delete a record", impl::runDelete},
            {"status", "show the proxies and their configuration", impl::runStatus},
            {"watch", "watch changes of records", impl::runWatch},
            {"history", "show the audit trail of changes", impl::runHistory},
            {"explain", "show a request's events from log files", impl::runExplain},
            {"check-settings", "check a settings file", impl::runCheckSettings},
            {"key-digest", "compute the digest of a customer's key", impl::runKeyDigest}};
}

int runCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err, const std::vector<Subcommand> &others)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto subcommands = operatorSubcommands();
    subcommands.insert(subcommands.begin(), others.begin(), others.end());
    if (argc < 2) {
        writeHelp(err, subcommands);
        return toInt(ExitCode::Usage);
    }
    const std::string name = argv[1];
    if (name == "--help" || name == "-h" || name == "help") {
        writeHelp(out, subcommands);
        return finishOutput(toInt(ExitCode::Ok), out, err);
    }
    const auto found =
        std::find_if(subcommands.begin(), subcommands.end(), [&name](const Subcommand &subcommand) { return subcommand.name == name; });
    if (found == subcommands.end()) {
        return refuseUnknown(name, subcommands, err);
    }
    return finishOutput(runOne(*found, argc - 1, argv + 1, out, err), out, err);
}

} // namespace cardamomstep::cli
