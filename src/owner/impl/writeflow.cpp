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
    const auto room = session_.checkRoom(core_.options.group);
    if (!room) {
        return failedAnswer(room.error());
    }
    if (!core_.waitReleased(lock_, deadline_)) {
        return failedAnswer(Error{ErrorKind::NoPrimary, "writes are held for a change of primary"}.withRetryAfter(comeBackSoon));
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
        return exchange(core_, lock_, servedBy_, use.lease, deadline_, [&call](auto &link, Milliseconds timeout) {
            return link.commit(call, timeout);
        });
    });
}

Answer WriteFlow::drive(bool isCommit, const Sender &send)
{
    WriteAttempt attempt(need(isCommit), core_.retries);
    auto step = attempt.start(core_.leader(), steadyNow());
    for (;;) {
        if (const auto *answer = std::get_if<AnswerWrite>(&step)) {
            return toAnswer(*answer);
        }
        if (const auto *sending = std::get_if<SendStoreWrite>(&step)) {
            step = performSend(attempt, sending->term, send);
        } else if (const auto *ask = std::get_if<AskOutcome>(&step)) {
            step = performAsk(attempt, *ask);
        } else if (const auto *coverage = std::get_if<WaitCoverage>(&step)) {
            step = performCoverage(attempt, coverage->mark);
        } else {
            step = performWaitPrimary(attempt);
        }
    }
}

WriteNeed WriteFlow::need(bool isCommit) const
{
    WriteNeed need;
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
    const auto lease = member->links.take(lock_, deadline_);
    if (!lease) {
        core_.finished(*ticket);
        return ConnectionFailure{ConnectionFault::NoConnection, true, lease.error().description};
    }
    const auto call = callFor(core_, statement_, term);
    auto result = exchange(
        core_, lock_, servedBy_, *lease, deadline_, [&call](auto &link, Milliseconds timeout) { return link.execute(call, timeout); });
    member->links.giveBack(*lease, steadyNow());
    core_.finished(*ticket);
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
    return std::holds_alternative<SendStoreWrite>(step) ? attempt.primaryChanged(core_.leader(), steadyNow()) : step;
}

WriteStep WriteFlow::performAsk(WriteAttempt &attempt, const AskOutcome &ask)
{
    if (steadyNow() < ask.notBefore) {
        Waiter waiter;
        const WaitList::Entry entry(core_.primaryWaiters, waiter);
        waiter.wait(lock_, std::min(ask.notBefore, deadline_));
    }
    // The news may be only that the start of the same term is covered: then the question is asked now, not put off again.
    auto current = attempt.primaryChanged(core_.leader(), steadyNow());
    const auto *stillAsked = std::get_if<AskOutcome>(&current);
    if (stillAsked == nullptr || stillAsked->term != ask.term) {
        return current;
    }
    const auto view = core_.monitor.primary();
    if (!view || view->term != ask.term) {
        return attempt.outcomeFailed(steadyNow());
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
        return attempt.outcomeFailed(steadyNow());
    }
    core_.onState(view->member, reply->report.log, reply->report.adopted, sentAt);
    return attempt.outcome(*reply, steadyNow());
}

WriteStep WriteFlow::performCoverage(WriteAttempt &attempt, const LogPosition &mark)
{
    Waiter waiter;
    const WaitList::Entry forCoverage(core_.coverageWaiters, waiter);
    const WaitList::Entry forPrimary(core_.primaryWaiters, waiter);
    for (;;) {
        const auto now = steadyNow();
        const auto coverage = core_.acks.coverage(mark);
        if (coverage == Coverage::Covered) {
            return attempt.covered(mark);
        }
        const auto leader = core_.leader();
        if (coverage == Coverage::Superseded || leader.term > mark.term) {
            auto step = attempt.primaryChanged(leader, now);
            if (!std::holds_alternative<WaitCoverage>(step)) {
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
    answer.position = result.mark;
    answer.servedBy = servedBy_;
    answer.session = statement_.session;
    if (!result.error) {
        answer.session = sessionAfter(session_, core_.options.group, result.mark);
    }
    return answer;
}

} // namespace cardamomstep::impl
