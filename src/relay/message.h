// What callers' sessions and members say to each other, free of any wire format.
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/logposition.h"
#include "statements/statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstep::relay {

/// One caller's session on this process.
using CallerKey = std::uint64_t;
/// One connection from this process to a member.
using LinkKey = std::uint64_t;
/// The name under which callers ask for a database.
using DatabaseName = StrongId<struct DatabaseNameTag>;

/// What a statement asks for.
enum class StatementKind : std::uint8_t {
    Begin,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Malformed,
};

/// One statement of a caller, decoded.
struct SessionStatement {
    /// The caller's id for this statement; passed on unchanged.
    std::string id;
    StatementKind kind = StatementKind::Malformed;
    /// For Begin: the transaction only reads.
    bool readOnly = false;
    /// For Prepare: whether the prepared statement writes.
    Access access = Access::Read;
    /// Name of a session value or of a prepared statement.
    std::string name;
    /// The session value, the shape to prepare, or the arguments of Execute.
    std::string argument;
    /// The statement as the caller wrote it.
    std::string text;
};

/// Where a session stands, as told to the caller after each answer.
enum class SessionState : std::uint8_t {
    Idle,
    InTransaction,
    Failed, ///< The transaction failed; only its end is accepted.
};

/// The whole answer to one statement of a caller.
struct CallerReply {
    std::vector<std::string> rows;
    /// The member's signature; empty when this process answered itself.
    std::string signature;
    std::optional<Error> error;
    SessionState state = SessionState::Idle;
    /// Position of the log that answered; nothing when none did.
    std::optional<Mark> position;
};

/// Why a member did not answer with success.
enum class MemberFault : std::uint8_t {
    Busy, ///< Its queue is full; nothing ran.
    UnknownStatement, ///< The prepared name is not known on this connection; nothing ran.
    Lagging, ///< Its log lacks the position asked for; nothing ran.
    ReadOnly, ///< It does not lead; nothing ran.
    WrongMember, ///< It is not the member that was meant; nothing ran.
    TooManyConnections, ///< Its connection limit is reached; nothing ran.
    Aborted, ///< The transaction was rolled back; nothing is kept.
    Failed, ///< It ran and failed.
    TimedOut, ///< It ran too long.
    Malformed, ///< It could not read the request.
    Unknown, ///< An answer that this release does not know; it may have run.
};

/// True when the fault promises that nothing ran.
[[nodiscard]] constexpr bool promisesNoRun(MemberFault fault) noexcept
{
    return fault <= MemberFault::Aborted;
}

/// The whole answer of a member to one request.
struct MemberReply {
    std::vector<std::string> rows;
    /// Empty when the member signs nothing, as for statements of our own.
    std::string signature;
    std::optional<MemberFault> fault;
    SessionState state = SessionState::Idle;
    std::optional<Mark> position;
};

/// What this process asks of a member on its own account.
enum class MemberVerb : std::uint8_t {
    Forward, ///< The caller's statement, unchanged.
    Begin,
    BeginReadOnly,
    Rollback,
    SetValue,
    Prepare,
    ExecutePrepared, ///< The caller's statement with the prepared name replaced.
    ResetSession, ///< Drops all values and prepared names of the connection.
    Status,
    Pause, ///< Stop replication; `text` is the term.
    Resume, ///< Go on with replication.
    Demote, ///< Stop leading; `text` is the term.
};

/// A member's own account of itself.
struct MemberAccount {
    bool primary = false;
    std::uint64_t term = 0;
    /// End of the log that it has received.
    Mark received;
};

/// One request to a member.
struct MemberRequest {
    MemberVerb verb = MemberVerb::Forward;
    /// The caller's statement id; empty for requests of our own.
    std::string id;
    /// The caller's statement text, or the arguments of our own verb.
    std::string text;
    /// Name of a value or prepared statement.
    std::string name;
    Access access = Access::Read;
    /// The member must refuse the request when its log lacks this position.
    std::optional<Mark> mustHold;
};

} // namespace cardamomstep::relay
