// Carries one write, or the commit of a transaction, from its arrival to its answer.
#pragma once

#include "owner/impl/flow.h"
#include "owner/transactions.h"

#include <functional>

namespace cardamomstep::impl {

/// Performs the steps of a WriteAttempt for one statement.
class WriteFlow
{
public:
    WriteFlow(GroupCore &core, const Statement &statement, SessionToken session, TimePoint deadline);

    /// Runs a statement on its own.
    [[nodiscard]] Answer run();

    /// Commits the transaction that \a use holds.
    [[nodiscard]] Answer commit(const Transactions::Use &use);

private:
    /// Sends the request once to the primary of a term.
    using Sender = std::function<ConnectionResult<MemberReply>(const Term &)>;

    [[nodiscard]] Answer drive(bool isCommit, const Sender &send);
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
    /// Set when admission refused the request, which then did not run.
    std::optional<Error> refusal_;
};

} // namespace cardamomstep::impl
