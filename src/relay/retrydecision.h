// Classifies failed statements: whether they may be sent again, and which error the caller gets.
#pragma once

#include "base/error.h"
#include "relay/callersession.h"
#include "relay/message.h"

#include <optional>

namespace cardamomstep::relay {

/// The retry class of a statement, which decides what a failure means.
enum class RetryClass : std::uint8_t {
    Read, ///< A read outside a transaction.
    Write, ///< A write outside a transaction.
    InTransaction, ///< A statement inside a transaction, other than its commit.
    CommitOfReads, ///< The commit of a transaction that wrote nothing.
    CommitOfWrites, ///< The commit of a transaction that wrote.
};

/// Returns the retry class of \a statement, which \a session forwards to a member.
[[nodiscard]] RetryClass retryClassOf(const CallerSession &session, const SessionStatement &statement);

/// How an exchange with a member failed.
enum class ExchangeEnd : std::uint8_t {
    NotSent, ///< No part of the statement was sent.
    Refused, ///< The member replied with a fault.
    Broken, ///< The connection was closed without a reply.
    Silent, ///< No reply arrived before the timeout; the connection is closed, except for a read that is sent again.
};

/// What to do about a failed statement.
struct RetryDecision {
    /// The statement may be sent to a member again, before its deadline and within the retry budget.
    bool mayResend = false;
    /// The error for the caller if it is not sent again.
    Error error;
};

/// Classifies a failed exchange; \a fault is set for ExchangeEnd::Refused.
///
/// A statement may be sent again only if it did not run, or if running it twice does no harm. Writes, and commits of transactions that
/// wrote, end as ErrorKind::OutcomeUnknown if they may have run. A transaction whose connection is closed is rolled back by the member.
[[nodiscard]] RetryDecision classifyFailure(RetryClass retryClass, ExchangeEnd end, std::optional<MemberFault> fault);

} // namespace cardamomstep::relay
