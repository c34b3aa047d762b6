// Entry point of the program: runs the subcommand named on the command line.
#include "app/proxycommand.h"
#include "app/replaycommand.h"
#include "cli/run.h"
#include "platform/sessionproxycommand.h"

#include <iostream>

int main(int argc, char **argv)
{
    using namespace cardamomstep;
    return cli::runCommand(argc,
                           argv,
                           std::cout,
                           std::cerr,
                           {{"proxy", "serve callers, operators and other proxies", runProxyCommand},
                            {"session-proxy", "serve callers whose session is a connection", platform::runSessionProxyCommand},
                            {"replay", "run a recorded trace again and compare its decisions", runReplayCommand}});
}
