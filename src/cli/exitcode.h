// The stable exit codes of the program and the code that belongs to an error.
#pragma once

#include "base/error.h"
#include "cli/fwd.h"

namespace cardamomstep::cli {

/// What the exit code of a command says; scripts rely on these numbers.
enum class ExitCode : int {
    Ok = 0, ///< Done, or nothing to do.
    Failed = 1, ///< Refused or failed; nothing of what was asked took effect unless the output says so.
    Usage = 2, ///< Wrong command line, client file or settings.
    Conflict = 3, ///< The record has another version than expected; the message tells which.
    Unreachable = 4, ///< No proxy, or no store behind it, could be reached; nothing took effect.
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
