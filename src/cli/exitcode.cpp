// Maps errors to exit codes.
#include "cli/exitcode.h"

namespace cardamomstep::cli {

ExitCode exitCodeFor(const Error &error) noexcept
{
    if (error.ran == Ran::Unknown) {
        return ExitCode::OutcomeUnknown;
    }
    switch (error.kind) {
    case ErrorKind::Conflict:
        return ExitCode::Conflict;
    case ErrorKind::EndpointUnreachable:
    case ErrorKind::StoreUnavailable:
    case ErrorKind::NotReady:
    case ErrorKind::Draining:
        return ExitCode::Unreachable;
    case ErrorKind::InvalidSettings:
        return ExitCode::Usage;
    default:
        return ExitCode::Failed;
    }
}

} // namespace cardamomstep::cli
