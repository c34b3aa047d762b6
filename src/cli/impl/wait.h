// Waits until a change is in force on every live proxy.
#pragma once

#include "base/time.h"
#include "cli/client.h"
#include "cli/exitcode.h"

#include <cstdint>
#include <ostream>

namespace cardamomstep::cli::impl {

/// Asks until every live proxy has the configuration up to \a revision in force, at most \a timeout.
///
/// ExitCode::Failed names on \a err the proxies that are still behind; the change itself stays accepted.
[[nodiscard]] ExitCode waitInForce(OperatorClient &client, std::uint64_t revision, Milliseconds timeout, std::ostream &err);

} // namespace cardamomstep::cli::impl
