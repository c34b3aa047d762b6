// The fingerprint of a request's body, by which a reused request id is detected.
#pragma once

#include "requests/fwd.h"
#include "statements/statement.h"

#include <cstdint>

namespace cardamomstep {

/// Hashes what a write would do: verb, service, operation, key, arguments and transaction.
///
/// Window, session and accepted age are left out, since a caller may ask again with others. Each field is
/// hashed with its length, so that text cannot move from one field to the next unseen.
[[nodiscard]] std::uint64_t fingerprintOf(const Statement &statement) noexcept;

} // namespace cardamomstep
