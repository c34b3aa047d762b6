// The subcommand `replay`: runs a recorded trace again.
#pragma once

#include <ostream>

namespace cardamomstep {

/// Replays the trace file that the command line names.
///
/// Returns 0 when every decision and outcome is as stated, 1 at the first difference, 2 for bad usage or an unreadable trace.
int runReplayCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace cardamomstep
