// Runs one write, from its arrival to its answer.
#include "owner/impl/writeflow.h"

#include "requests/fingerprint.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::impl {

namespace {

constexpr Milliseconds outcomeQueryTimeout{150};

} // namespace

WriteFlow::WriteFlow(GroupCore &core, const Statement &statement, SessionToken session, TimePoint deadline)
    : core_(core)
    , statement_(statement)
    , session_(std::move(session))
    , deadline_(deadline)
    , lock_(core.mutex)
{
}

Answer WriteFlow::run()
{
    const auto capacity = session_.checkCapacity(core_.options.group);
    if (!capacity) {
        return failedAnswer(capacity.error());
    }
    if (!core_.waitForWrites(lock_, deadline_)) {
        return failedAnswer(Error{ErrorKind::NoPrimary, "writes are paused for a change of primary"}.withRetryAfter(defaultRetryAfter));
    }
    return runAttempt(false, [this](const Term &term) { return sendOnce(term); });
}

Answer WriteFlow::commit(const Transactions::Use &use)
{
    servedBy_ = use.transaction.member;
    return runAttempt(true, [this, &use](const Term &term) -> ConnectionResult<MemberReply> {
        if (term != use.transaction.term) {
            return ConnectionFailure{ConnectionFault::Closed, true, "the transaction's primary was superseded"};
        }
        auto call = callFor(core_, statement_, term);
        call.write = true;
        call.transaction = use.transaction.memberTransaction;
        return exchange(core_, lock_, servedBy_, use.checkout, deadline_, [&call](auto &connection, Milliseconds timeout) {
            return connection.commit(call, timeout);
        });
    });
}

Answer WriteFlow::runAttempt(bool isCommit, const Sender &send)
{
    WriteAttempt attempt(requirements(isCommit), core_.retries);
    auto step = attempt.start(core_.leader(), steadyNow());
    for (;;) {
        if (const auto *answer = std::get_if<AnswerWrite>(&step)) {
            return toAnswer(*answer);
        }
        if (const auto *sendStep = std::get_if<SendWrite>(&step)) {
            step = performSend(attempt, sendStep->term, send);
        } else if (const auto *query = std::get_if<QueryOutcome>(&step)) {
            step = performQueryOutcome(attempt, *query);
        } else if (const auto *quorumWait = std::get_if<WaitQuorum>(&step)) {
            step = performWaitQuorum(attempt, quorumWait->position);
        } else {
            step = performWaitPrimary(attempt);
        }
    }
}

WriteRequirements WriteFlow::requirements(bool isCommit) const
{
    WriteRequirements attemptRequirements;
    attemptRequirements.fingerprint = fingerprintOf(statement_);
    attemptRequirements.idempotent = statement_.idempotent;
    attemptRequirements.commit = isCommit;
    attemptRequirements.deadline = deadline_;
    return attemptRequirements;
}

ConnectionResult<MemberReply> WriteFlow::sendOnce(const Term &term)
{
    const auto primaryInfo = core_.monitor.primary();
    if (!primaryInfo || primaryInfo->term != term) {
        return ConnectionFailure{ConnectionFault::Closed, true, "the primary changed before the statement was sent"};
    }
    const auto ticket = core_.admit(lock_, Lane::Primary, statement_.service, deadline_);
    if (!ticket) {
        admissionError_ = ticket.error();
        return ConnectionFailure{ConnectionFault::NoConnection, true, ticket.error().description};
    }
    servedBy_ = primaryInfo->member;
    auto *member = core_.find(servedBy_);
    const auto checkout = member->connections.acquire(lock_, deadline_);
    if (!checkout) {
        core_.releaseSlot(*ticket);
        return ConnectionFailure{ConnectionFault::NoConnection, true, checkout.error().description};
    }
    const auto call = callFor(core_, statement_, term);
    auto result = exchange(core_, lock_, servedBy_, *checkout, deadline_, [&call](auto &connection, Milliseconds timeout) {
        return connection.execute(call, timeout);
    });
    member->connections.release(*checkout, steadyNow());
    core_.releaseSlot(*ticket);
    return result;
}

WriteStep WriteFlow::performSend(WriteAttempt &attempt, const Term &term, const Sender &send)
{
    const auto result = send(term);
    const auto now = steadyNow();
    if (const auto *reply = std::get_if<MemberReply>(&result)) {
        return attempt.replied(*reply, now);
    }
    const auto &failure = std::get<ConnectionFailure>(result);
    (void)attempt.primaryChanged(core_.leader(), now);
    auto step = attempt.sendFailed(failure, now);
    // A refusal by admission is final unless the request was sent before; the error says when to retry.
    const bool sentBefore = attempt.sends() > 1;
    if (admissionError_ && !sentBefore) {
        AnswerWrite answer;
        answer.ran = Ran::No;
        answer.error = admissionError_;
        return answer;
    }
    // The request was not sent: check for a new primary before the next attempt.
    return std::holds_alternative<SendWrite>(step) ? attempt.primaryChanged(core_.leader(), steadyNow()) : step;
}

WriteStep WriteFlow::performQueryOutcome(WriteAttempt &attempt, const QueryOutcome &query)
{
    if (steadyNow() < query.notBefore) {
        Waiter waiter;
        const WaitList::Entry entry(core_.primaryWaiters, waiter);
        waiter.wait(lock_, std::min(query.notBefore, deadline_));
    }
    // The change may only be that the start entry of the same term is replicated; then the query is sent now, not delayed again.
    auto current = attempt.primaryChanged(core_.leader(), steadyNow());
    const auto *currentQuery = std::get_if<QueryOutcome>(&current);
    if (currentQuery == nullptr || currentQuery->term != query.term) {
        return current;
    }
    const auto primaryInfo = core_.monitor.primary();
    if (!primaryInfo || primaryInfo->term != query.term) {
        return attempt.onOutcomeFailed(steadyNow());
    }
    const auto *member = core_.find(primaryInfo->member);
    HttpControlConnection connection(member->address, core_.options.identity);
    const auto sentAt = steadyNow();
    lock_.unlock();
    const auto result = connection.outcome(statement_.requestId,
                                           std::min(outcomeQueryTimeout, std::max(Milliseconds{1}, wholeMilliseconds(deadline_ - sentAt))));
    lock_.lock();
    const auto *reply = std::get_if<OutcomeReply>(&result);
    if (reply == nullptr) {
        return attempt.onOutcomeFailed(steadyNow());
    }
    core_.onState(primaryInfo->member, reply->report.log, reply->report.adopted, sentAt);
    return attempt.onOutcome(*reply, steadyNow());
}

WriteStep WriteFlow::performWaitQuorum(WriteAttempt &attempt, const LogPosition &position)
{
    Waiter waiter;
    const WaitList::Entry quorumEntry(core_.quorumWaiters, waiter);
    const WaitList::Entry primaryEntry(core_.primaryWaiters, waiter);
    for (;;) {
        const auto now = steadyNow();
        const auto quorum = core_.acks.quorumState(position);
        if (quorum == QuorumState::Replicated) {
            return attempt.replicated(position);
        }
        const auto leader = core_.leader();
        if (quorum == QuorumState::Superseded || leader.term > position.term) {
            auto step = attempt.primaryChanged(leader, now);
            if (!std::holds_alternative<WaitQuorum>(step)) {
                return step;
            }
        }
        const auto wake = attempt.nextWake().value_or(deadline_);
        if (now >= wake) {
            return attempt.wake(now);
        }
        waiter.wait(lock_, wake);
    }
}

WriteStep WriteFlow::performWaitPrimary(WriteAttempt &attempt)
{
    Waiter waiter;
    const WaitList::Entry entry(core_.primaryWaiters, waiter);
    for (;;) {
        // The primary may have changed while the lock was released, before this thread joined the list.
        auto step = attempt.primaryChanged(core_.leader(), steadyNow());
        if (!std::holds_alternative<WaitPrimary>(step)) {
            return step;
        }
        const auto wake = attempt.nextWake().value_or(deadline_);
        if (steadyNow() >= wake) {
            return attempt.wake(steadyNow());
        }
        waiter.wait(lock_, wake);
    }
}

Answer WriteFlow::toAnswer(const AnswerWrite &result) const
{
    Answer answer;
    answer.ran = result.ran;
    answer.error = result.error;
    answer.rows = result.rows;
    answer.rowCount = result.rowCount;
    answer.position = result.position;
    answer.servedBy = servedBy_;
    answer.session = statement_.session;
    if (!result.error) {
        answer.session = sessionAfter(session_, core_.options.group, result.position);
    }
    return answer;
}

} // namespace cardamomstep::impl
