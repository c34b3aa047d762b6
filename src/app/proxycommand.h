// The subcommand `proxy`: the server process.
#pragma once

#include <ostream>

namespace cardamomstep {

/// Runs a proxy until SIGTERM or SIGINT, then drains it.
///
/// Returns 0 after a shutdown that cut nothing, 1 when it could not start or had to cut something, 2 for bad usage or settings.
int runProxyCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace cardamomstep
