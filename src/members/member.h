// What a member of a database group must offer, as plain messages; see docs/design/member.md.
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

/// What a member does in its group.
enum class MemberRole : std::uint8_t {
    Replica,
    Primary,
};

/// A member's report on itself.
struct MemberReport {
    MemberName member;
    MemberRole role = MemberRole::Replica;
    /// Highest term adopted: the member refuses everything of a lower term.
    Term adopted;
    /// Last entry of its log.
    Mark log;
    /// True when the member has been told to stop.
    bool leaving = false;

    [[nodiscard]] bool operator==(const MemberReport &) const = default;
};

/// Why a member gave no usable reply.
enum class LinkFault : std::uint8_t {
    Refused, ///< Nothing listens at the address: the process is gone.
    Closed, ///< The connection broke, perhaps after the request was sent.
    TimedOut, ///< No reply within the time given.
    Corrupt, ///< The reply was truncated, malformed, or belongs to another exchange.
    NoConnection, ///< The member is at its connection limit.
};

/// A failed exchange with a member.
struct LinkFailure {
    LinkFault fault = LinkFault::TimedOut;
    /// True when no byte of the request left this process, so it did not run.
    bool notSent = false;
    std::string description;
};

/// Why a member refused a call; nothing of the call took effect.
enum class Refusal : std::uint8_t {
    LowerTerm, ///< The call's term is below the adopted one.
    NotPrimary, ///< A write or a primary's call came to a replica.
    RequestIdReused, ///< The request id stands in the log with another fingerprint.
    TransactionUnknown, ///< The transaction is not open on this connection.
    StatementFailed, ///< The statement itself failed, for example an unknown operation.
    Leaving, ///< The member takes no new work.
};

/// One statement as sent to a member.
struct MemberCall {
    /// Correlates the reply; drawn anew for each exchange.
    std::string exchange;
    /// The term that the caller believes in; writes of another term are refused.
    Term term;
    bool write = false;
    /// Reads at a primary set this, so that a demoted member refuses them.
    bool needsPrimary = false;
    std::string operation;
    std::string key;
    std::string arguments;
    /// Stored in the same log entry as the effect, for writes and commits.
    RequestId requestId;
    /// Hash of the request's body, to detect a reused id.
    std::uint64_t fingerprint = 0;
    /// The member-side transaction; empty for a statement on its own.
    std::string transaction;
};

/// A member's whole reply to a call.
struct MemberReply {
    std::string exchange;
    std::optional<Refusal> refusal;
    std::string description;
    /// Rows as a JSON array text.
    std::string rows = "[]";
    std::uint64_t rowCount = 0;
    /// Last log entry when the statement ran; for writes, the entry that holds the effect.
    Mark mark;
    /// Highest adopted term when it ran.
    Term adopted;
    /// The member-side transaction that a begin opened.
    std::string transaction;
    /// True when the request id was already in the log and its stored outcome is returned.
    bool repeated = false;
};

/// Reply to an outcome question.
struct OutcomeReply {
    bool found = false;
    /// Entry that holds the effect, when found.
    Mark mark;
    std::uint64_t fingerprint = 0;
    std::string rows = "[]";
    std::uint64_t rowCount = 0;
    /// State of the member that answered.
    MemberReport report;
};

/// Reply to adopt, lead and follow: accepted or not, and the member's state afterwards.
struct TermReply {
    bool accepted = false;
    MemberReport report;
};

/// A reply or the failure of the link.
template<typename Reply>
using LinkResult = std::variant<Reply, LinkFailure>;

/// A connection to one member that carries statements.
///
/// One call at a time. After a LinkFailure it is closed and must not be used again.
template<typename T>
concept StatementLink = requires(T link, const MemberCall &call, Milliseconds timeout)
{
    {
        link.execute(call, timeout)
        } -> std::same_as<LinkResult<MemberReply>>;
    {
        link.begin(call, timeout)
        } -> std::same_as<LinkResult<MemberReply>>;
    {
        link.commit(call, timeout)
        } -> std::same_as<LinkResult<MemberReply>>;
    {
        link.rollback(call, timeout)
        } -> std::same_as<LinkResult<MemberReply>>;
};

/// A connection to one member that carries reports and orders; it takes no slot and no database connection.
template<typename T>
concept ControlLink = requires(
    T link, const MemberReport &seen, Term term, const MemberName &name, const Address &address, const RequestId &id, Milliseconds timeout)
{
    {
        link.report(timeout)
        } -> std::same_as<LinkResult<MemberReport>>;
    {
        link.reportAfter(seen, timeout, timeout)
        } -> std::same_as<LinkResult<MemberReport>>;
    {
        link.adopt(term, timeout)
        } -> std::same_as<LinkResult<TermReply>>;
    {
        link.lead(term, timeout)
        } -> std::same_as<LinkResult<TermReply>>;
    {
        link.follow(term, name, address, timeout)
        } -> std::same_as<LinkResult<TermReply>>;
    {
        link.outcome(id, timeout)
        } -> std::same_as<LinkResult<OutcomeReply>>;
};

} // namespace cardamomstep
