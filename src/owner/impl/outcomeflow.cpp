// Determines with certainty whether a request took effect.
#include "owner/impl/outcomeflow.h"

#include "owner/impl/writeflow.h"
#include "requests/fingerprint.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::impl {

namespace {

constexpr Milliseconds outcomeQueryTimeout{150};
/// Longest wait for a change of the primary or for further replication before the next check.
constexpr Milliseconds queryRetryInterval{40};

Answer unknownOutcome(const std::string &reason)
{
    return failedAnswer(Error{ErrorKind::OutcomeUnknown, reason}.withRetryAfter(defaultRetryAfter));
}

/// Returns an empty write under the id of \a request, which closes that id.
Statement closingStatement(const Statement &request)
{
    Statement statement;
    statement.service = request.service;
    statement.group = request.group;
    statement.access = Access::Write;
    statement.operation = closeIdOperation;
    statement.key = request.key;
    statement.arguments = "{}";
    statement.requestId = request.requestId;
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
                waiter.wait(lock, std::min(deadline_, steadyNow() + queryRetryInterval));
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
    return unknownOutcome("no primary replied to the outcome query within the window");
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
    HttpControlConnection connection(address, core_.options.identity);
    const auto sentAt = steadyNow();
    const auto result = connection.outcome(statement_.requestId, outcomeQueryTimeout);
    const auto *reply = std::get_if<OutcomeReply>(&result);
    std::unique_lock lock(core_.mutex);
    if (reply == nullptr) {
        Waiter waiter;
        const WaitList::Entry entry(core_.primaryWaiters, waiter);
        waiter.wait(lock, std::min(deadline_, steadyNow() + queryRetryInterval));
        return std::nullopt;
    }
    core_.onState(primary.member, reply->report.log, reply->report.adopted, sentAt);
    return *reply;
}

Answer OutcomeFlow::found(const OutcomeReply &reply)
{
    std::unique_lock lock(core_.mutex);
    Waiter waiter;
    const WaitList::Entry quorumEntry(core_.quorumWaiters, waiter);
    const WaitList::Entry primaryEntry(core_.primaryWaiters, waiter);
    for (;;) {
        const auto leader = core_.leader();
        // The primary's term has its start entry on a majority, and with it every earlier entry of the primary's log.
        const bool inheritedDurably = leader.startReplicated && leader.term == reply.report.adopted && reply.position.term < leader.term;
        if (inheritedDurably || core_.acks.quorumState(reply.position) == QuorumState::Replicated) {
            break;
        }
        if (steadyNow() >= deadline_) {
            return unknownOutcome("the request's effect is not yet replicated to a majority");
        }
        waiter.wait(lock, std::min(deadline_, steadyNow() + queryRetryInterval));
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
        return unknownOutcome("the request arrived while its outcome was being determined");
    }
    return unknownOutcome(answer.error->description);
}

} // namespace cardamomstep::impl
