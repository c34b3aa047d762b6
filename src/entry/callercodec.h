// Reads callers' requests and writes their answers; docs/INTERFACE.md describes both.
#pragma once

#include "base/result.h"
#include "http/message.h"
#include "statements/statement.h"

#include <cstddef>

namespace cardamomstep::entry {

/// Bounds on what a caller may send.
struct CallerLimits {
    std::size_t tokenBytes = 4096;
    std::size_t keyBytes = 512;
    std::size_t nameBytes = 128;
    Milliseconds maxWindow{60'000};
    Milliseconds defaultWindow{1'000};
    Milliseconds maxAcceptedAge{3'600'000};
};

/// Reads a request to one of the statement paths.
///
/// The errors are NotFound for an unknown path, UnsupportedVersion for another interface version, TooLarge for an oversize token, and
/// MalformedRequest for everything else that is wrong; none of them has run.
[[nodiscard]] Result<Statement> readStatement(const http::Request &request, const CallerLimits &limits);

/// The response for \a answer to the request with \a requestId.
[[nodiscard]] http::Response writeAnswer(const Answer &answer, const RequestId &requestId);

} // namespace cardamomstep::entry
