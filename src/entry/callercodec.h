// Parses callers' requests and writes the responses; docs/INTERFACE.md describes both.
#pragma once

#include "base/result.h"
#include "http/message.h"
#include "statements/statement.h"

#include <cstddef>

namespace cardamomstep::entry {

/// Limits on what a caller may send.
struct CallerLimits {
    /// The longest session token.
    std::size_t tokenBytes = 4096;
    /// The longest key.
    std::size_t keyBytes = 512;
    /// The longest service name, operation, request id and transaction id.
    std::size_t nameBytes = 128;
    /// The longest window that a request may specify: the time from its arrival within which it must be answered.
    Milliseconds maxWindow{60'000};
    /// The window of a request that specifies none.
    Milliseconds defaultWindow{1'000};
    /// The highest age of data that a read may accept.
    Milliseconds maxAcceptedAge{3'600'000};
};

/// Parses a request to one of the statement paths.
///
/// The errors are NotFound for an unknown path, UnsupportedVersion for another interface version, TooLarge for an oversize token, and
/// MalformedRequest for any other fault; in none of these cases has anything run.
[[nodiscard]] Result<Statement> readStatement(const http::Request &request, const CallerLimits &limits);

/// Returns the response with \a answer to the request with \a requestId.
[[nodiscard]] http::Response writeAnswer(const Answer &answer, const RequestId &requestId);

} // namespace cardamomstep::entry
