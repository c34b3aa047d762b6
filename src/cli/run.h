// The program's entry point: finds the subcommand and runs it.
#pragma once

#include "cli/exitcode.h"
#include "cli/fwd.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace cardamomstep::cli {

/// One subcommand of the program.
struct Subcommand {
    std::string name;
    /// One line in the program's help.
    std::string summary;
    /// Runs the subcommand; argv[0] is its name. Writes data to \a out and errors to \a err and returns the exit code.
    std::function<int(int argc, const char *const *argv, std::ostream &out, std::ostream &err)> run;
};

/// The operators' subcommands: apply, get, diff, delete, status, watch, history, explain, check-settings.
[[nodiscard]] std::vector<Subcommand> operatorSubcommands();

/// Runs the subcommand named on the command line, one of operatorSubcommands() or \a others, and returns its exit code.
///
/// Data goes to \a out and errors to \a err. A pipe that its reader closes early ends the command without an error.
///
/// Example:
/// \code
/// int main(int argc, char **argv)
/// {
///     return cli::runCommand(argc, argv, std::cout, std::cerr, {{"proxy", "run a proxy", runProxyCommand}});
/// }
/// \endcode
int runCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err, const std::vector<Subcommand> &others = {});

} // namespace cardamomstep::cli
