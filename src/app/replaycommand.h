// The subcommand `replay`: replays a recorded trace.
#pragma once

#include <ostream>

namespace cardamomstep {

/// Replays the trace file that the command line names.
///
/// Returns 0 if every decision and outcome is as recorded, 1 at the first difference, 2 for bad usage or an unreadable trace.
int runReplayCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace cardamomstep
