// Replays a recorded trace and compares the decisions with the recorded ones.
#pragma once

#include "base/result.h"
#include "trace/fwd.h"

#include <cstddef>
#include <istream>
#include <optional>
#include <ostream>
#include <string>

namespace cardamomstep::trace {

/// The first difference between a trace and its replay.
struct ReplayDifference {
    /// The line of the trace, counted from 1.
    std::size_t line = 0;
    /// The recorded and the replayed action or outcome as JSON text; "nothing" where one side has no action.
    std::string recorded;
    std::string replayed;

    [[nodiscard]] bool operator==(const ReplayDifference &) const = default;
};

/// The result of a replay.
struct ReplayReport {
    /// The number of inputs replayed and outcomes compared, up to and including the difference.
    std::size_t steps = 0;
    std::optional<ReplayDifference> difference;

    [[nodiscard]] bool operator==(const ReplayReport &) const = default;
};

/// Replays the trace in \a lines up to the first difference.
///
/// The error is ErrorKind::UnsupportedVersion, ErrorKind::MalformedRequest or ErrorKind::TooLarge; its position has the line.
[[nodiscard]] Result<ReplayReport> replay(std::istream &lines);

/// Exit codes of runReplay().
enum class ReplayExit : int {
    Same = 0,
    Different = 1,
    Unreadable = 2, ///< The trace is malformed or of another format version.
};

/// Replays the trace in \a lines and writes the result as text: the subcommand `replay`.
[[nodiscard]] ReplayExit runReplay(std::istream &lines, std::ostream &out, std::ostream &errors);

} // namespace cardamomstep::trace
