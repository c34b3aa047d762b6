// Carries the statements of transactions: begin, execute, commit and rollback on one pinned connection.
#pragma once

#include "owner/impl/flow.h"
#include "owner/transactions.h"

namespace cardamomstep::impl {

/// Performs one step of a transaction.
///
/// Nothing of a transaction takes effect before its commit, so every failure before that is answered with Ran::No and closes the
/// connection, which makes the endpoint roll back.
class TransactionFlow
{
public:
    TransactionFlow(GroupCore &core, Transactions &transactions, const Statement &statement, SessionToken session, TimePoint deadline);

    /// Opens a transaction on the group's primary.
    [[nodiscard]] Answer begin();

    /// Runs a statement in an open transaction.
    [[nodiscard]] Answer execute();

    /// Ends the transaction with its effects.
    [[nodiscard]] Answer commit();

    /// Ends the transaction without effects.
    [[nodiscard]] Answer rollback();

private:
    [[nodiscard]] Answer beginOn(const PrimaryInfo &primary);
    [[nodiscard]] Answer finishExecute(const Transactions::Use &use, const ConnectionResult<MemberReply> &result);
    void closeConnection(const Transactions::Use &use);
    void release(const Transactions::Use &use);

    GroupCore &core_;
    Transactions &transactions_;
    const Statement &statement_;
    SessionToken session_;
    TimePoint deadline_;
};

} // namespace cardamomstep::impl
