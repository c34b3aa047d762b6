// The fingerprint of a request's body, by which a reused request id is detected.
#pragma once

#include "requests/fwd.h"
#include "statements/statement.h"

#include <cstdint>

namespace cardamomstep {

/// Returns a hash of what a write does: verb, service, operation, key, arguments and transaction.
///
/// Window, session and accepted age are left out, since a caller may retry with other values. Each field is hashed with its length, so
/// that text moved from one field to the next changes the hash.
[[nodiscard]] std::uint64_t fingerprintOf(const Statement &statement) noexcept;

} // namespace cardamomstep
