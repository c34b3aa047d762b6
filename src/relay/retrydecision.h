// What a caller is told when a statement was not answered with success, and whether it may be sent again.
#pragma once

#include "base/error.h"
#include "relay/callersession.h"
#include "relay/message.h"

#include <optional>

namespace cardamomstep::relay {

/// What is at stake when a statement is not answered with success.
enum class Stake : std::uint8_t {
    Read, ///< A read on its own.
    Write, ///< A write on its own.
    Inside, ///< A statement inside a transaction, other than its commit.
    CommitOfReads, ///< The commit of a transaction that wrote nothing.
    CommitOfWrites, ///< The commit of a transaction that wrote.
};

/// What is at stake when \a statement of \a session, which goes to a member, is not answered with success.
[[nodiscard]] Stake stakeOf(const CallerSession &session, const SessionStatement &statement);

/// How an exchange with a member went wrong.
enum class ExchangeEnd : std::uint8_t {
    NotSent, ///< Nothing of the statement left this process.
    Refused, ///< The member answered with a fault.
    Broken, ///< The connection ended without an answer.
    Silent, ///< No answer came in time; the connection is closed.
};

/// What to do about a statement that was not answered with success.
struct Outcome {
    /// The same statement may be sent to a member again, within its time and the retry budget.
    bool mayResend = false;
    /// What the caller is told when it is not sent again.
    Error error;
};

/// Judges a failed exchange; \a fault is set for ExchangeEnd::Refused.
///
/// A statement may be sent again only when it did not run, or when running it twice does no harm. Writes and commits that may have
/// run end as ErrorKind::OutcomeUnknown. A transaction whose connection is closed is rolled back by the member.
[[nodiscard]] Outcome judge(Stake stake, ExchangeEnd end, std::optional<MemberFault> fault);

} // namespace cardamomstep::relay
