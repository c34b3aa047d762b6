// Messages between callers' sessions and members, independent of the wire format.
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

/// Identifies a caller's session in this process.
using CallerKey = std::uint64_t;
/// Identifies a connection from this process to a member.
using MemberConnectionKey = std::uint64_t;
/// The name by which callers select a database.
using DatabaseName = StrongId<struct DatabaseNameTag>;

/// The kind of a statement.
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
    /// The caller's id for this statement; forwarded unchanged.
    std::string id;
    StatementKind kind = StatementKind::Malformed;
    /// For Begin: the transaction is read-only.
    bool readOnly = false;
    /// For Prepare: whether the prepared statement writes.
    Access access = Access::Read;
    /// Name of a session value or of a prepared statement.
    std::string name;
    /// The session value, the statement to prepare, or the arguments of Execute.
    std::string argument;
    /// The statement as the caller wrote it.
    std::string text;
};

/// The state of a session, as reported to the caller after each answer.
enum class SessionState : std::uint8_t {
    Idle,
    InTransaction,
    Failed, ///< The transaction failed; only commit or rollback is accepted.
};

/// The complete answer to one statement of a caller.
struct CallerReply {
    std::vector<std::string> rows;
    /// The member's signature; empty if no member was involved.
    std::string signature;
    std::optional<Error> error;
    SessionState state = SessionState::Idle;
    /// Log position of the member that replied; nothing if none did.
    std::optional<LogPosition> position;
};

/// Why a member's reply is not a success.
///
/// guaranteesNotExecuted() relies on the order: the faults up to Aborted guarantee that the statement left no effect.
enum class MemberFault : std::uint8_t {
    Busy, ///< Its queue is full; nothing ran.
    UnknownStatement, ///< The statement is not prepared on this connection; nothing ran.
    Lagging, ///< Its log lacks the requested position; nothing ran.
    ReadOnly, ///< It is not the primary; nothing ran.
    WrongMember, ///< It is not the addressed member; nothing ran.
    TooManyConnections, ///< Its connection limit is reached; nothing ran.
    Aborted, ///< The transaction was rolled back; nothing is kept.
    Failed, ///< It ran and failed.
    TimedOut, ///< It ran too long.
    Malformed, ///< It could not read the request.
    Unauthorized, ///< Of another proxy: it does not know the caller's key.
    Unknown, ///< A reply that this release does not know; the statement may have run.
};

/// Returns true if the fault guarantees that nothing ran, or that its transaction was rolled back.
[[nodiscard]] constexpr bool guaranteesNotExecuted(MemberFault fault) noexcept
{
    return fault <= MemberFault::Aborted;
}

/// The complete reply of a member to one request.
struct MemberReply {
    std::vector<std::string> rows;
    /// Empty if the member signs nothing, as for this process's own requests.
    std::string signature;
    std::optional<MemberFault> fault;
    SessionState state = SessionState::Idle;
    std::optional<LogPosition> position;
};

/// The kind of a request to a member.
enum class MemberVerb : std::uint8_t {
    Forward, ///< The caller's statement, unchanged.
    Begin,
    BeginReadOnly,
    Rollback,
    SetValue,
    Prepare,
    ExecutePrepared, ///< The caller's Execute, with the name under which the statement is prepared at members.
    ResetSession, ///< Drops all values and prepared names of the connection.
    Status,
    Pause, ///< Stops replication; `text` is the term.
    Resume, ///< Resumes replication.
    Demote, ///< Ends its role as primary; `text` is the term.
};

/// A member's status, as it reported it.
struct MemberStatusReply {
    bool primary = false;
    std::uint64_t term = 0;
    /// End of the received log.
    LogPosition received;
};

/// One request to a member.
struct MemberRequest {
    MemberVerb verb = MemberVerb::Forward;
    /// The caller's statement id; empty for this process's own requests.
    std::string id;
    /// The caller's statement text, or the arguments of another verb.
    std::string text;
    /// Name of a value or prepared statement.
    std::string name;
    Access access = Access::Read;
    /// The member must refuse the request when its log lacks this position.
    std::optional<LogPosition> minPosition;
};

} // namespace cardamomstep::relay
