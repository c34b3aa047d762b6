// Waits until a change is in force on every live proxy.
#pragma once

#include "base/time.h"
#include "cli/client.h"
#include "cli/exitcode.h"

#include <cstdint>
#include <ostream>

namespace cardamomstep::cli::impl {

/// Polls the status until every live proxy has the configuration up to \a revision in force, for at most \a timeout.
///
/// Returns ExitCode::Failed after the timeout and writes the proxies that are still behind to \a err; the change stays accepted.
[[nodiscard]] ExitCode waitInForce(OperatorClient &client, std::uint64_t revision, Milliseconds timeout, std::ostream &err);

} // namespace cardamomstep::cli::impl
