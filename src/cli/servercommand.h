// The command line of the subcommands that serve until they are told to stop.
#pragma once

#include "cli/fwd.h"

#include <functional>
#include <iosfwd>
#include <string>

namespace cardamomstep::cli {

/// One such subcommand; its only option is the settings file.
struct ServerCommand {
    std::string name;
    /// What it does, for its help.
    std::string help;
    /// The page that describes the settings file.
    std::string settingsPage;
    /// Serves with the settings in the file; returns the exit code.
    std::function<int(const std::string &settingsFile, std::ostream &err)> serve;
};

/// Reads the command line and serves; the result is the process's exit code, see ExitCode.
[[nodiscard]] int runServerCommand(const ServerCommand &command, int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace cardamomstep::cli
