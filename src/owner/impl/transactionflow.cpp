// Runs the statements of transactions.
#include "owner/impl/transactionflow.h"

#include "owner/impl/writeflow.h"

#include <utility>

namespace cardamomstep::impl {

namespace {

Answer aborted(const std::string &reason)
{
    return failedAnswer(Error{ErrorKind::TransactionAborted, reason}.withRetryAfter(defaultRetryAfter));
}

} // namespace

TransactionFlow::TransactionFlow(
    GroupCore &core, Transactions &transactions, const Statement &statement, SessionToken session, TimePoint deadline)
    : core_(core)
    , transactions_(transactions)
    , statement_(statement)
    , session_(std::move(session))
    , deadline_(deadline)
{
}

// Begin

Answer TransactionFlow::begin()
{
    const auto capacity = session_.checkCapacity(core_.options.group);
    if (!capacity) {
        return failedAnswer(capacity.error());
    }
    std::optional<PrimaryInfo> primary;
    {
        std::unique_lock lock(core_.mutex);
        Waiter waiter;
        const WaitList::Entry entry(core_.primaryWaiters, waiter);
        bool inTime = core_.waitForWrites(lock, deadline_);
        primary = core_.monitor.primary();
        // A leaving primary is replaced once its transactions have ended, so no new one begins there.
        while (inTime && (!primary || core_.isMarkedLeaving(primary->member))) {
            inTime = waiter.wait(lock, deadline_);
            primary = core_.monitor.primary();
        }
        if (!inTime) {
            return failedAnswer(
                Error{ErrorKind::NoPrimary, "the group has no primary for new transactions"}.withRetryAfter(defaultRetryAfter));
        }
    }
    return beginOn(*primary);
}

Answer TransactionFlow::beginOn(const PrimaryInfo &primary)
{
    std::unique_lock lock(core_.mutex);
    const auto ticket = core_.admit(lock, Lane::Primary, statement_.service, deadline_);
    if (!ticket) {
        return failedAnswer(ticket.error());
    }
    auto *member = core_.find(primary.member);
    const auto checkout = member->connections.acquire(lock, deadline_);
    if (!checkout) {
        core_.releaseSlot(*ticket);
        return failedAnswer(checkout.error());
    }
    auto call = callFor(core_, statement_, primary.term);
    call.needsPrimary = true;
    const auto result = exchange(core_, lock, primary.member, *checkout, deadline_, [&call](auto &connection, Milliseconds timeout) {
        return connection.begin(call, timeout);
    });
    core_.releaseSlot(*ticket);
    const auto *reply = std::get_if<MemberReply>(&result);
    if (reply == nullptr || reply->refusal) {
        member->connections.release(*checkout, steadyNow());
        return reply == nullptr ? aborted("the connection was lost before the transaction began")
                                : failedAnswer(errorFor(*reply->refusal, reply->description));
    }
    OpenTransaction transaction;
    transaction.group = core_.options.group;
    transaction.member = primary.member;
    transaction.memberTransaction = reply->transaction;
    transaction.term = primary.term;
    const auto id = transactions_.open(transaction, *checkout);
    if (!id) {
        member->connections.close(checkout->key);
        return failedAnswer(id.error());
    }
    Answer answer;
    answer.transaction = *id;
    answer.servedBy = primary.member;
    answer.session = statement_.session;
    answer.position = reply->position;
    return answer;
}

// Statements

Answer TransactionFlow::execute()
{
    const auto use = transactions_.begin(statement_.transaction);
    if (!use) {
        return failedAnswer(use.error());
    }
    // Bypasses admission: admitted requests may be waiting for the connection that is pinned to this transaction.
    std::unique_lock lock(core_.mutex);
    auto call = callFor(core_, statement_, use->transaction.term);
    call.needsPrimary = true;
    call.requestId = RequestId{};
    call.transaction = use->transaction.memberTransaction;
    const auto result =
        exchange(core_, lock, use->transaction.member, use->checkout, deadline_, [&call](auto &connection, Milliseconds timeout) {
            return connection.execute(call, timeout);
        });
    lock.unlock();
    return finishExecute(*use, result);
}

Answer TransactionFlow::finishExecute(const Transactions::Use &use, const ConnectionResult<MemberReply> &result)
{
    const auto *reply = std::get_if<MemberReply>(&result);
    if (reply == nullptr) {
        transactions_.onConnectionLost(use);
        closeConnection(use);
        return aborted("the transaction's connection was lost");
    }
    if (reply->refusal == Refusal::StatementFailed) {
        transactions_.end(statement_.transaction);
        return failedAnswer(errorFor(*reply->refusal, reply->description));
    }
    if (reply->refusal) {
        transactions_.onConnectionLost(use);
        closeConnection(use);
        return aborted(reply->description);
    }
    transactions_.end(statement_.transaction);
    Answer answer;
    answer.rows = reply->rows;
    answer.rowCount = reply->rowCount;
    answer.servedBy = use.transaction.member;
    answer.session = statement_.session;
    answer.transaction = statement_.transaction;
    answer.position = reply->position;
    return answer;
}

// End

Answer TransactionFlow::commit()
{
    const auto use = transactions_.begin(statement_.transaction);
    if (!use) {
        return failedAnswer(use.error());
    }
    auto answer = WriteFlow(core_, statement_, session_, deadline_).commit(*use);
    transactions_.close(statement_.transaction);
    if (answer.error) {
        // The transaction may still be open at the member: closing the connection rolls it back.
        closeConnection(*use);
    } else {
        release(*use);
    }
    return answer;
}

Answer TransactionFlow::rollback()
{
    const auto use = transactions_.begin(statement_.transaction);
    if (!use) {
        return failedAnswer(use.error());
    }
    auto call = callFor(core_, statement_, use->transaction.term);
    call.transaction = use->transaction.memberTransaction;
    std::unique_lock lock(core_.mutex);
    const auto result =
        exchange(core_, lock, use->transaction.member, use->checkout, deadline_, [&call](auto &connection, Milliseconds timeout) {
            return connection.rollback(call, timeout);
        });
    lock.unlock();
    transactions_.close(statement_.transaction);
    const auto *reply = std::get_if<MemberReply>(&result);
    if (reply != nullptr && !reply->refusal) {
        release(*use);
    } else {
        closeConnection(*use);
    }
    Answer answer;
    answer.servedBy = use->transaction.member;
    answer.session = statement_.session;
    return answer;
}

void TransactionFlow::closeConnection(const Transactions::Use &use)
{
    const std::lock_guard lock(core_.mutex);
    if (auto *member = core_.find(use.transaction.member)) {
        member->connections.close(use.checkout.key);
    }
}

void TransactionFlow::release(const Transactions::Use &use)
{
    const std::lock_guard lock(core_.mutex);
    if (auto *member = core_.find(use.transaction.member)) {
        member->connections.release(use.checkout, steadyNow());
    }
}

} // namespace cardamomstep::impl
