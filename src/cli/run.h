// The program's entry: finds the subcommand and runs it.
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
    /// One line for the program's help.
    std::string summary;
    /// Gets the command line from the subcommand's name on, the streams for data and for errors; returns the exit code.
    std::function<int(int argc, const char *const *argv, std::ostream &out, std::ostream &err)> run;
};

/// The operators' subcommands: apply, get, diff, delete, status, watch, history, explain, check-settings.
[[nodiscard]] std::vector<Subcommand> operatorSubcommands();

/// Runs the subcommand that the command line names, out of operatorSubcommands() and \a others.
///
/// Data goes to \a out and errors to \a err. A reader that closes its pipe early ends the command quietly. Returns an ExitCode.
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
