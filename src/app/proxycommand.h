// The subcommand `proxy`: the server process.
#pragma once

#include <ostream>

namespace cardamomstep {

/// Runs a proxy until SIGTERM or SIGINT, then drains it.
///
/// Returns 0 if the shutdown left no work unfinished, 1 if the proxy failed to start or left work unfinished, 2 for bad usage or settings.
int runProxyCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace cardamomstep
