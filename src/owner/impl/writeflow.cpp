// Carries one write from its arrival to its answer.
#include "owner/impl/writeflow.h"

#include "requests/fingerprint.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::impl {

namespace {

constexpr Milliseconds outcomeTimeout{150};

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
    const auto room = session_.checkCapacity(core_.options.group);
    if (!room) {
        return failedAnswer(room.error());
    }
    if (!core_.waitForWrites(lock_, deadline_)) {
        return failedAnswer(Error{ErrorKind::NoPrimary, "writes are held for a change of primary"}.withRetryAfter(defaultRetryAfter));
    }
    return drive(false, [this](const Term &term) { return sendOnce(term); });
}

Answer WriteFlow::commit(const Transactions::Use &use)
{
    servedBy_ = use.transaction.member;
    return drive(true, [this, &use](const Term &term) -> ConnectionResult<MemberReply> {
        if (term != use.transaction.term) {
            return ConnectionFailure{ConnectionFault::Closed, true, "the transaction's primary was superseded"};
        }
        auto call = callFor(core_, statement_, term);
        call.write = true;
        call.transaction = use.transaction.memberTransaction;
        return exchange(core_, lock_, servedBy_, use.checkout, deadline_, [&call](auto &link, Milliseconds timeout) {
            return link.commit(call, timeout);
        });
    });
}

Answer WriteFlow::drive(bool isCommit, const Sender &send)
{
    WriteAttempt attempt(requirements(isCommit), core_.retries);
    auto step = attempt.start(core_.leader(), steadyNow());
    for (;;) {
        if (const auto *answer = std::get_if<AnswerWrite>(&step)) {
            return toAnswer(*answer);
        }
        if (const auto *sending = std::get_if<SendWrite>(&step)) {
            step = performSend(attempt, sending->term, send);
        } else if (const auto *query = std::get_if<QueryOutcome>(&step)) {
            step = performQueryOutcome(attempt, *query);
        } else if (const auto *coverage = std::get_if<WaitQuorum>(&step)) {
            step = performWaitQuorum(attempt, coverage->position);
        } else {
            step = performWaitPrimary(attempt);
        }
    }
}

WriteRequirements WriteFlow::requirements(bool isCommit) const
{
    WriteRequirements need;
    need.fingerprint = fingerprintOf(statement_);
    need.idempotent = statement_.idempotent;
    need.commit = isCommit;
    need.deadline = deadline_;
    return need;
}

ConnectionResult<MemberReply> WriteFlow::sendOnce(const Term &term)
{
    const auto view = core_.monitor.primary();
    if (!view || view->term != term) {
        return ConnectionFailure{ConnectionFault::Closed, true, "the primary changed before the statement was sent"};
    }
    const auto ticket = core_.admit(lock_, Lane::Primary, statement_.service, deadline_);
    if (!ticket) {
        refusal_ = ticket.error();
        return ConnectionFailure{ConnectionFault::NoConnection, true, ticket.error().description};
    }
    servedBy_ = view->member;
    auto *member = core_.find(servedBy_);
    const auto checkout = member->connections.acquire(lock_, deadline_);
    if (!checkout) {
        core_.releaseSlot(*ticket);
        return ConnectionFailure{ConnectionFault::NoConnection, true, checkout.error().description};
    }
    const auto call = callFor(core_, statement_, term);
    auto result = exchange(
        core_, lock_, servedBy_, *checkout, deadline_, [&call](auto &link, Milliseconds timeout) { return link.execute(call, timeout); });
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
    // A refusal by admission is final: it names when to come back.
    const bool sentBefore = attempt.sends() > 1;
    if (refusal_ && !sentBefore) {
        AnswerWrite answer;
        answer.ran = Ran::No;
        answer.error = refusal_;
        return answer;
    }
    // After an unsent try, look again at who is primary.
    return std::holds_alternative<SendWrite>(step) ? attempt.primaryChanged(core_.leader(), steadyNow()) : step;
}

WriteStep WriteFlow::performQueryOutcome(WriteAttempt &attempt, const QueryOutcome &query)
{
    if (steadyNow() < query.notBefore) {
        Waiter waiter;
        const WaitList::Entry entry(core_.primaryWaiters, waiter);
        waiter.wait(lock_, std::min(query.notBefore, deadline_));
    }
    // The news may be only that the start of the same term is covered: then the question is asked now, not put off again.
    auto current = attempt.primaryChanged(core_.leader(), steadyNow());
    const auto *stillAsked = std::get_if<QueryOutcome>(&current);
    if (stillAsked == nullptr || stillAsked->term != query.term) {
        return current;
    }
    const auto view = core_.monitor.primary();
    if (!view || view->term != query.term) {
        return attempt.onOutcomeFailed(steadyNow());
    }
    const auto *member = core_.find(view->member);
    HttpControlConnection link(member->address, core_.options.identity);
    const auto sentAt = steadyNow();
    lock_.unlock();
    const auto result =
        link.outcome(statement_.requestId, std::min(outcomeTimeout, std::max(Milliseconds{1}, wholeMilliseconds(deadline_ - sentAt))));
    lock_.lock();
    const auto *reply = std::get_if<OutcomeReply>(&result);
    if (reply == nullptr) {
        return attempt.onOutcomeFailed(steadyNow());
    }
    core_.onState(view->member, reply->report.log, reply->report.adopted, sentAt);
    return attempt.onOutcome(*reply, steadyNow());
}

WriteStep WriteFlow::performWaitQuorum(WriteAttempt &attempt, const LogPosition &position)
{
    Waiter waiter;
    const WaitList::Entry forCoverage(core_.quorumWaiters, waiter);
    const WaitList::Entry forPrimary(core_.primaryWaiters, waiter);
    for (;;) {
        const auto now = steadyNow();
        const auto coverage = core_.acks.quorumState(position);
        if (coverage == QuorumState::Replicated) {
            return attempt.replicated(position);
        }
        const auto leader = core_.leader();
        if (coverage == QuorumState::Superseded || leader.term > position.term) {
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
        // The primary may have changed while the lock was released, before this thread was in the list.
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
