// Runs one write, or the commit of a transaction, from its arrival to its answer.
#pragma once

#include "owner/impl/flow.h"
#include "owner/transactions.h"

#include <functional>

namespace cardamomstep::impl {

/// Performs a WriteAttempt's steps for one statement.
class WriteFlow
{
public:
    WriteFlow(GroupCore &core, const Statement &statement, SessionToken session, TimePoint deadline);

    /// Runs a write outside a transaction.
    [[nodiscard]] Answer run();

    /// Commits the transaction of \a use.
    [[nodiscard]] Answer commit(const Transactions::Use &use);

private:
    /// Sends the request once to the primary of the given term.
    using Sender = std::function<ConnectionResult<MemberReply>(const Term &)>;

    [[nodiscard]] Answer runAttempt(bool isCommit, const Sender &send);
    [[nodiscard]] WriteRequirements requirements(bool isCommit) const;
    [[nodiscard]] ConnectionResult<MemberReply> sendOnce(const Term &term);
    [[nodiscard]] WriteStep performSend(WriteAttempt &attempt, const Term &term, const Sender &send);
    [[nodiscard]] WriteStep performQueryOutcome(WriteAttempt &attempt, const QueryOutcome &query);
    [[nodiscard]] WriteStep performWaitQuorum(WriteAttempt &attempt, const LogPosition &position);
    [[nodiscard]] WriteStep performWaitPrimary(WriteAttempt &attempt);
    [[nodiscard]] Answer toAnswer(const AnswerWrite &result) const;

    GroupCore &core_;
    const Statement &statement_;
    SessionToken session_;
    TimePoint deadline_;
    std::unique_lock<std::mutex> lock_;
    MemberName servedBy_;
    /// The error of a refusal by admission; that attempt was not sent.
    std::optional<Error> admissionError_;
};

} // namespace cardamomstep::impl
