// The program's exit codes and the exit code for an error.
#pragma once

#include "base/error.h"
#include "cli/fwd.h"

namespace cardamomstep::cli {

/// The exit codes of all commands; scripts rely on these numbers.
enum class ExitCode : int {
    Ok = 0, ///< Succeeded, or there was nothing to do.
    Failed = 1, ///< Refused or failed; no change took effect unless the output says so.
    Usage = 2, ///< The command line, the client file or the settings are invalid.
    Conflict = 3, ///< The record's version isn't the expected one; the message has the current version.
    Unreachable = 4, ///< The proxy or its store is unreachable; no change took effect.
    OutcomeUnknown = 5, ///< The change may have taken effect; read the record back.
};

/// The exit code for \a error.
[[nodiscard]] ExitCode exitCodeFor(const Error &error) noexcept;

/// The number of \a code.
[[nodiscard]] constexpr int toInt(ExitCode code) noexcept
{
    return static_cast<int>(code);
}

} // namespace cardamomstep::cli
