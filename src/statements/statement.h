// A caller's statement and its answer, as every slice of the data path passes them on.
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/logposition.h"
#include "statements/fwd.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomstep {

/// Whether a statement changes data.
enum class Access : std::uint8_t {
    Read,
    Write,
};

/// What a caller asks for.
enum class Verb : std::uint8_t {
    Execute, ///< Run one statement, on its own or inside a transaction.
    Begin, ///< Open a transaction.
    Commit, ///< Make a transaction's effects last.
    Rollback, ///< Drop a transaction's effects.
    Outcome, ///< Tell whether the request with this id took effect.
};

/// One request of a caller.
struct Statement {
    Verb verb = Verb::Execute;
    ServiceName service;
    /// Group that holds the key; set by the entry proxy from the routing intent.
    GroupName group;
    Access access = Access::Read;
    /// Name of the operation at the endpoint, for example "get" or "append".
    std::string operation;
    std::string key;
    /// Arguments as a JSON text; passed through unread and never logged.
    std::string arguments;
    /// Time that the caller gives this request, counted from its arrival at this process.
    Milliseconds window{1000};
    /// Age of data that a read accepts; a read without it must be current.
    std::optional<Milliseconds> acceptedAge;
    /// Required for non-idempotent writes and commits; drawn by the entry proxy when the caller gave none.
    RequestId requestId;
    /// True when running the request twice does no harm.
    bool idempotent = false;
    /// The transaction to run in; empty for a statement on its own.
    TransactionId transaction;
    /// The caller's session token, as text.
    std::string session;
};

/// The whole answer to one Statement.
struct Answer {
    Ran ran = Ran::Yes;
    /// Set when the request failed; its `ran` is the same as this answer's.
    std::optional<Error> error;
    /// Rows as the text of a JSON array, checked whole.
    std::string rows = "[]";
    std::uint64_t rowCount = 0;
    /// The session token after this request.
    std::string session;
    MemberName servedBy;
    bool fromReplica = false;
    RequestId requestId;
    /// The open transaction, for Verb::Begin.
    TransactionId transaction;
    /// Place of the effect (writes) or of the data seen (reads) in the group's log.
    Mark mark;
};

/// "begin", "commit", "rollback", "outcome", "write" or "read", for logs and metrics.
[[nodiscard]] inline std::string_view nameOf(const Statement &statement) noexcept
{
    switch (statement.verb) {
    case Verb::Begin:
        return "begin";
    case Verb::Commit:
        return "commit";
    case Verb::Rollback:
        return "rollback";
    case Verb::Outcome:
        return "outcome";
    case Verb::Execute:
        break;
    }
    return statement.access == Access::Write ? "write" : "read";
}

/// An answer that only reports \a error.
[[nodiscard]] inline Answer failedAnswer(Error error)
{
    Answer answer;
    answer.ran = error.ran;
    answer.error = std::move(error);
    return answer;
}

} // namespace cardamomstep
