// Runs the statements of transactions: begin, execute, commit and rollback on one pinned connection.
#pragma once

#include "owner/impl/flow.h"
#include "owner/transactions.h"

namespace cardamomstep::impl {

/// Performs one step of a transaction.
///
/// No part of a transaction takes effect before its commit. So every failure before that is answered with Ran::No; if the
/// transaction cannot continue, its connection is closed, which makes the endpoint roll back.
class TransactionFlow
{
public:
    TransactionFlow(GroupCore &core, Transactions &transactions, const Statement &statement, SessionToken session, TimePoint deadline);

    /// Begins a transaction on the group's primary.
    [[nodiscard]] Answer begin();

    /// Runs a statement in an open transaction.
    [[nodiscard]] Answer execute();

    /// Commits the transaction.
    [[nodiscard]] Answer commit();

    /// Rolls the transaction back.
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
