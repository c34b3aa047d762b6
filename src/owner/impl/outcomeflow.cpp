// Finds out for good whether a request took effect.
#include "owner/impl/outcomeflow.h"

#include "owner/impl/writeflow.h"
#include "requests/fingerprint.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::impl {

namespace {

constexpr Milliseconds queryTimeout{150};
constexpr Milliseconds askPause{40};

Answer unknown(const std::string &why)
{
    return failedAnswer(Error{ErrorKind::OutcomeUnknown, why}.withRetryAfter(defaultRetryAfter));
}

/// The statement that takes the place of a request id: it has no effect but to hold the id.
Statement closingStatement(const Statement &question)
{
    Statement statement;
    statement.service = question.service;
    statement.group = question.group;
    statement.access = Access::Write;
    statement.operation = closeIdOperation;
    statement.key = question.key;
    statement.arguments = "{}";
    statement.requestId = question.requestId;
    statement.idempotent = true;
    return statement;
}

} // namespace

OutcomeFlow::OutcomeFlow(GroupCore &core, const Statement &statement, SessionToken session, TimePoint deadline)
    : core_(core)
    , statement_(statement)
    , session_(std::move(session))
    , deadline_(deadline)
{
}

Answer OutcomeFlow::run()
{
    while (steadyNow() < deadline_) {
        std::optional<PrimaryInfo> primary;
        {
            std::unique_lock lock(core_.mutex);
            primary = core_.monitor.primary();
            if (!primary) {
                Waiter waiter;
                const WaitList::Entry entry(core_.primaryWaiters, waiter);
                waiter.wait(lock, std::min(deadline_, steadyNow() + askPause));
                continue;
            }
        }
        const auto reply = query(*primary);
        if (reply && reply->found) {
            return found(*reply);
        }
        if (reply) {
            return closeId();
        }
    }
    return unknown("no primary could be asked within the window");
}

std::optional<OutcomeReply> OutcomeFlow::query(const PrimaryInfo &primary)
{
    Address address;
    {
        const std::lock_guard lock(core_.mutex);
        const auto *member = core_.find(primary.member);
        if (member == nullptr) {
            return std::nullopt;
        }
        address = member->address;
    }
    HttpControlConnection link(address, core_.options.identity);
    const auto sentAt = steadyNow();
    const auto result = link.outcome(statement_.requestId, queryTimeout);
    const auto *reply = std::get_if<OutcomeReply>(&result);
    std::unique_lock lock(core_.mutex);
    if (reply == nullptr) {
        Waiter waiter;
        const WaitList::Entry entry(core_.primaryWaiters, waiter);
        waiter.wait(lock, std::min(deadline_, steadyNow() + askPause));
        return std::nullopt;
    }
    core_.onState(primary.member, reply->report.log, reply->report.adopted, sentAt);
    return *reply;
}

Answer OutcomeFlow::found(const OutcomeReply &reply)
{
    std::unique_lock lock(core_.mutex);
    Waiter waiter;
    const WaitList::Entry forCoverage(core_.quorumWaiters, waiter);
    const WaitList::Entry forPrimary(core_.primaryWaiters, waiter);
    for (;;) {
        const auto leader = core_.leader();
        const bool inheritedForGood = leader.startReplicated && leader.term == reply.report.adopted && reply.position.term < leader.term;
        if (inheritedForGood || core_.acks.quorumState(reply.position) == QuorumState::Replicated) {
            break;
        }
        if (steadyNow() >= deadline_) {
            return unknown("the request's effect is not yet held by a majority");
        }
        waiter.wait(lock, std::min(deadline_, steadyNow() + askPause));
    }
    if (reply.fingerprint == fingerprintOf(closingStatement(statement_))) {
        Answer answer;
        answer.ran = Ran::No;
        answer.session = statement_.session;
        return answer;
    }
    Answer answer;
    answer.rows = reply.rows;
    answer.rowCount = reply.rowCount;
    answer.position = reply.position;
    answer.session = sessionAfter(session_, core_.options.group, reply.position);
    return answer;
}

Answer OutcomeFlow::closeId()
{
    const auto closing = closingStatement(statement_);
    auto answer = WriteFlow(core_, closing, session_, deadline_).run();
    if (!answer.error) {
        answer.ran = Ran::No;
        answer.rows = "[]";
        answer.rowCount = 0;
        answer.session = statement_.session;
        return answer;
    }
    if (answer.error->kind == ErrorKind::RequestIdReused) {
        return unknown("the request arrived while it was asked about");
    }
    return unknown(answer.error->description);
}

} // namespace cardamomstep::impl
