// Parses the command line of a subcommand that runs a server.
#include "cli/servercommand.h"

#include "cli/exitcode.h"

#include <cxxopts.hpp>

namespace cardamomstep::cli {

int runServerCommand(const ServerCommand &command, int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    const auto program = "cardamomstep " + command.name;
    cxxopts::Options options(program, command.help + "\n\nExample: " + program + " --settings settings.json\n");
    const auto settingsHelp = "settings file in JSON (" + command.settingsPage + ")";
    options.add_options()("settings", settingsHelp, cxxopts::value<std::string>(), "FILE");
    options.add_options()("h,help", "show this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            out << options.help();
            return toInt(ExitCode::Ok);
        }
        if (parsed.count("settings") == 0) {
            err << program << ": --settings FILE is required\n";
            return toInt(ExitCode::Usage);
        }
        return command.serve(parsed["settings"].as<std::string>(), err);
    } catch (const cxxopts::exceptions::exception &fault) {
        err << program << ": " << fault.what() << "\n";
        return toInt(ExitCode::Usage);
    }
}

} // namespace cardamomstep::cli
