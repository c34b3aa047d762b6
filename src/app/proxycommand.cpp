// The subcommand `proxy`: the server process.
#include "app/proxycommand.h"

#include "app/proxy.h"
#include "cli/exitcode.h"
#include "cli/servercommand.h"
#include "logging/log.h"
#include "settings/read.h"

#include <csignal>

namespace cardamomstep {

namespace {

using cli::ExitCode;
using cli::toInt;

/// Blocks SIGTERM and SIGINT in this thread and those started after it, so that sigwait() receives them; ignores SIGPIPE.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int runUntilStopped(const Settings &settings, std::ostream &err)
{
    const auto signals = blockStopSignals();
    auto proxy = Proxy::start(settings);
    if (!proxy) {
        err << proxy.error() << "\n";
        return toInt(ExitCode::Failed);
    }
    int received = 0;
    sigwait(&signals, &received);
    return (*proxy)->drain() ? toInt(ExitCode::Ok) : toInt(ExitCode::Failed);
}

int runWithSettings(const std::string &file, std::ostream &err)
{
    const auto settings = readSettingsFile(file);
    if (!settings) {
        for (const auto &fault : settings.faults()) {
            err << fault << "\n";
        }
        return toInt(ExitCode::Usage);
    }
    const auto logging = setUpLog(settings->log, settings->instance.text());
    if (!logging) {
        err << logging.error() << "\n";
        return toInt(ExitCode::Usage);
    }
    return runUntilStopped(*settings, err);
}

} // namespace

int runProxyCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    const cli::ServerCommand command{
        "proxy", "Serves callers, operators and other proxies until SIGTERM.", "docs/SETTINGS.md", runWithSettings};
    return cli::runServerCommand(command, argc, argv, out, err);
}

} // namespace cardamomstep
