// The command line of the subcommands that run a server until they are stopped.
#pragma once

#include "cli/fwd.h"

#include <functional>
#include <iosfwd>
#include <string>

namespace cardamomstep::cli {

/// A subcommand that runs a server; its only option is the settings file.
struct ServerCommand {
    std::string name;
    /// The description in its help.
    std::string help;
    /// The documentation page of the settings file, named in the help.
    std::string settingsPage;
    /// Runs the server with the settings in the file; returns the exit code.
    std::function<int(const std::string &settingsFile, std::ostream &err)> serve;
};

/// Parses the command line, runs the server and returns the process's exit code, see ExitCode.
[[nodiscard]] int runServerCommand(const ServerCommand &command, int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace cardamomstep::cli
