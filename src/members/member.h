// The interface of a member of a database group, as plain messages; see docs/design/member.md.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/result.h"
#include "members/fwd.h"

#include <compare>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cardamomstep {

/// The role of a member in its group.
enum class MemberRole : std::uint8_t {
    Replica,
    Primary,
};

/// A member's report on its own state.
struct MemberReport {
    MemberName member;
    MemberRole role = MemberRole::Replica;
    /// Highest term adopted; the member refuses everything of a lower term.
    Term adopted;
    /// Position of the last entry of its log.
    LogPosition log;
    /// True if the member was requested to shut down.
    bool leaving = false;

    [[nodiscard]] bool operator==(const MemberReport &) const = default;
};

/// The reason why a member gave no usable reply.
enum class ConnectionFault : std::uint8_t {
    Refused, ///< Nothing listens at the address: the process is down.
    Closed, ///< The connection broke, perhaps after the request was sent.
    TimedOut, ///< No reply within the timeout.
    Corrupt, ///< The reply was truncated, malformed, or belongs to another exchange.
    NoConnection, ///< The member is at its connection limit.
};

/// A failed exchange with a member.
struct ConnectionFailure {
    ConnectionFault fault = ConnectionFault::TimedOut;
    /// True if no byte of the request left this process, so it did not run.
    bool notSent = false;
    std::string description;
};

/// The reason why a member refused a call; a refused call has no effect.
enum class Refusal : std::uint8_t {
    LowerTerm, ///< The call's term is below the adopted one.
    NotPrimary, ///< A write, or a call that needs the primary, reached a replica.
    RequestIdReused, ///< The request id is in the log with a different fingerprint.
    TransactionUnknown, ///< The transaction is not open on this connection.
    StatementFailed, ///< The statement itself failed, for example an unknown operation.
    Leaving, ///< The member accepts no new work.
};

/// One statement as sent to a member.
struct MemberCall {
    /// Correlates the reply; unique for each exchange.
    std::string exchange;
    /// The group's term as known to the sender; writes of another term are refused.
    Term term;
    bool write = false;
    /// Set for reads and transactions at the primary, so that a demoted member refuses them.
    bool needsPrimary = false;
    std::string operation;
    std::string key;
    std::string arguments;
    /// For writes and commits; stored in the same log entry as the effect.
    RequestId requestId;
    /// Hash of the request's body, to detect a reused id.
    std::uint64_t fingerprint = 0;
    /// The member's id of the transaction; empty for a statement outside a transaction.
    std::string transaction;
};

/// A member's reply to a call.
struct MemberReply {
    std::string exchange;
    std::optional<Refusal> refusal;
    /// Explains the refusal, for error messages.
    std::string description;
    /// Rows as the text of a JSON array.
    std::string rows = "[]";
    std::uint64_t rowCount = 0;
    /// Position of the last log entry when the statement ran; for writes, of the entry that holds the effect.
    LogPosition position;
    /// Highest adopted term when the statement ran.
    Term adopted;
    /// The member's id of the transaction that a begin opened.
    std::string transaction;
    /// True if the request id was already in the log and its stored outcome is returned.
    bool repeated = false;
};

/// Reply to an outcome query.
struct OutcomeReply {
    bool found = false;
    /// Position of the entry that holds the effect, if found.
    LogPosition position;
    /// The fingerprint in that entry, if found.
    std::uint64_t fingerprint = 0;
    std::string rows = "[]";
    std::uint64_t rowCount = 0;
    /// State of the member that replied.
    MemberReport report;
};

/// Reply to adopt, lead and follow: whether the order was accepted, and the member's state afterwards.
struct TermReply {
    bool accepted = false;
    MemberReport report;
};

/// A reply or the failure of the connection.
template<typename Reply>
using ConnectionResult = std::variant<Reply, ConnectionFailure>;

/// A connection to one member that carries statements.
///
/// One call at a time. After a ConnectionFailure it is closed and must not be used again.
template<typename T>
concept StatementConnection = requires(T connection, const MemberCall &call, Milliseconds timeout)
{
    {
        connection.execute(call, timeout)
        } -> std::same_as<ConnectionResult<MemberReply>>;
    {
        connection.begin(call, timeout)
        } -> std::same_as<ConnectionResult<MemberReply>>;
    {
        connection.commit(call, timeout)
        } -> std::same_as<ConnectionResult<MemberReply>>;
    {
        connection.rollback(call, timeout)
        } -> std::same_as<ConnectionResult<MemberReply>>;
};

/// A connection to one member that carries reports and orders; it uses no slot and no database connection.
template<typename T>
concept ControlConnection = requires(T connection,
                                     const MemberReport &lastReport,
                                     Term term,
                                     const MemberName &name,
                                     const Address &address,
                                     const RequestId &id,
                                     Milliseconds timeout)
{
    {
        connection.report(timeout)
        } -> std::same_as<ConnectionResult<MemberReport>>;
    {
        connection.reportAfter(lastReport, timeout, timeout)
        } -> std::same_as<ConnectionResult<MemberReport>>;
    {
        connection.adopt(term, timeout)
        } -> std::same_as<ConnectionResult<TermReply>>;
    {
        connection.lead(term, timeout)
        } -> std::same_as<ConnectionResult<TermReply>>;
    {
        connection.follow(term, name, address, timeout)
        } -> std::same_as<ConnectionResult<TermReply>>;
    {
        connection.outcome(id, timeout)
        } -> std::same_as<ConnectionResult<OutcomeReply>>;
};

} // namespace cardamomstep
