// The subcommand `proxy`: the server process.
#include "app/proxycommand.h"

#include "app/proxy.h"
#include "logging/log.h"
#include "settings/read.h"

#include <cxxopts.hpp>

#include <csignal>

namespace cardamomstep {

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

/// Blocks the stop signals in this and all later threads, so that one call can wait for them.
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
        return exitFailed;
    }
    int received = 0;
    sigwait(&signals, &received);
    return (*proxy)->drain() ? exitOk : exitFailed;
}

int runWithSettings(const std::string &file, std::ostream &err)
{
    const auto settings = readSettingsFile(file);
    if (!settings) {
        for (const auto &fault : settings.faults()) {
            err << fault << "\n";
        }
        return exitUsage;
    }
    const auto logging = setUpLog(settings->log, settings->instance.text());
    if (!logging) {
        err << logging.error() << "\n";
        return exitUsage;
    }
    return runUntilStopped(*settings, err);
}

} // namespace

int runProxyCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options(
        "cardamomstep proxy",
        "Serves callers, operators and other proxies until SIGTERM.\n\nExample: cardamomstep proxy --settings proxy-1.json\n");
    options.add_options()("settings", "settings file in JSON (docs/SETTINGS.md)", cxxopts::value<std::string>(), "FILE")("h,help",
                                                                                                                         "show this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            out << options.help();
            return exitOk;
        }
        if (parsed.count("settings") == 0) {
            err << "cardamomstep proxy: --settings FILE is required\n";
            return exitUsage;
        }
        return runWithSettings(parsed["settings"].as<std::string>(), err);
    } catch (const cxxopts::exceptions::exception &fault) {
        err << "cardamomstep proxy: " << fault.what() << "\n";
        return exitUsage;
    }
}

} // namespace cardamomstep
