// Replays a recorded trace and compares the decisions with the stated ones.
#pragma once

#include "base/result.h"
#include "trace/fwd.h"

#include <cstddef>
#include <istream>
#include <optional>
#include <ostream>
#include <string>

namespace cardamomstep::trace {

/// The first place where a replay decided otherwise.
struct ReplayDifference {
    /// Line of the trace, counted from 1.
    std::size_t line = 0;
    /// What the trace states, and what the machine did now; "nothing" where one side has no action.
    std::string recorded;
    std::string replayed;

    [[nodiscard]] bool operator==(const ReplayDifference &) const = default;
};

/// What a replay showed.
struct ReplayReport {
    /// Inputs given and outcomes compared, up to the difference.
    std::size_t steps = 0;
    std::optional<ReplayDifference> difference;

    [[nodiscard]] bool operator==(const ReplayReport &) const = default;
};

/// Replays the trace in \a lines up to the first difference.
///
/// Errors: UnsupportedVersion, and MalformedRequest with the line in its position.
[[nodiscard]] Result<ReplayReport> replay(std::istream &lines);

/// Exit codes of runReplay().
enum class ReplayExit : int {
    Same = 0,
    Different = 1,
    Unreadable = 2,
};

/// Replays the trace in \a lines and tells people the result: the subcommand `replay`.
[[nodiscard]] ReplayExit runReplay(std::istream &lines, std::ostream &out, std::ostream &errors);

} // namespace cardamomstep::trace
