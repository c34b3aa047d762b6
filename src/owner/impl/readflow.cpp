// Runs one read, from its arrival to its verified answer.
#include "owner/impl/readflow.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::impl {

namespace {

/// The longest wait for a change of the primary before a confirmation is tried again.
constexpr Milliseconds confirmRetryInterval{40};

} // namespace

ReadFlow::ReadFlow(GroupCore &core, const Statement &statement, SessionToken session, TimePoint deadline)
    : core_(core)
    , statement_(statement)
    , session_(std::move(session))
    , arrived_(steadyNow())
    , deadline_(deadline)
    , lock_(core.mutex)
{
}

Answer ReadFlow::run()
{
    if (const auto error = checkToken()) {
        return failedAnswer(*error);
    }
    ReadPlan plan{{session_.find(core_.options.group), statement_.acceptedAge, arrived_, deadline_}};
    for (;;) {
        const auto step = core_.router.route(plan, steadyNow());
        std::optional<Answer> answer;
        if (const auto *giveUp = std::get_if<GiveUpRead>(&step)) {
            return failedAnswer(giveUp->error);
        }
        if (const auto *read = std::get_if<ReadFromMember>(&step)) {
            answer = performReadFromMember(plan, *read);
        } else if (const auto *await = std::get_if<AwaitReplica>(&step)) {
            performAwaitReplica(await->until);
        } else {
            answer = performCollectReports();
        }
        if (answer) {
            return *answer;
        }
        if (steadyNow() >= deadline_) {
            return failedAnswer(
                Error{ErrorKind::NotFresh, "no member replied with fresh data within the window"}.withRetryAfter(defaultRetryAfter));
        }
    }
}

std::optional<Error> ReadFlow::checkToken()
{
    const auto position = session_.find(core_.options.group);
    if (!position || checkAgainst(*position, core_.router.highestReported(), std::nullopt) == TokenStanding::Reached) {
        return std::nullopt;
    }
    const auto result = core_.confirmPrimary(lock_, deadline_);
    if (!result || !result->leaderConfirmed) {
        return std::nullopt;
    }
    if (checkAgainst(*position, core_.router.highestReported(), result->readPosition) != TokenStanding::Ahead) {
        return std::nullopt;
    }
    return Error{ErrorKind::TokenAhead, "the session token names a position that the group never reached"};
}

std::optional<Answer> ReadFlow::performCollectReports()
{
    const auto result = core_.confirmPrimary(lock_, deadline_);
    if (result && result->leaderConfirmed) {
        return std::nullopt;
    }
    const auto now = steadyNow();
    if (now + confirmRetryInterval >= deadline_) {
        return noPrimary();
    }
    Waiter waiter;
    const WaitList::Entry entry(core_.primaryWaiters, waiter);
    waiter.wait(lock_, now + confirmRetryInterval);
    return std::nullopt;
}

std::optional<Answer> ReadFlow::performReadFromMember(ReadPlan &plan, const ReadFromMember &read)
{
    const auto lane = read.isPrimary ? Lane::Primary : Lane::Replica;
    const auto ticket = core_.admit(lock_, lane, statement_.service, deadline_);
    if (!ticket) {
        return failedAnswer(ticket.error());
    }
    auto *member = core_.find(read.member);
    if (member == nullptr) {
        core_.releaseSlot(*ticket);
        core_.router.onReadFailed(plan, read.member);
        return std::nullopt;
    }
    const auto checkout = member->connections.acquire(lock_, deadline_);
    if (!checkout) {
        core_.releaseSlot(*ticket);
        core_.router.onReadFailed(plan, read.member);
        return std::nullopt;
    }
    auto call = callFor(core_, statement_, core_.leader().term);
    call.write = false;
    call.needsPrimary = read.isPrimary;
    const auto result = exchange(core_, lock_, read.member, *checkout, deadline_, [&call](auto &connection, Milliseconds timeout) {
        return connection.execute(call, timeout);
    });
    member->connections.release(*checkout, steadyNow());
    core_.releaseSlot(*ticket);
    const auto *reply = std::get_if<MemberReply>(&result);
    if (reply == nullptr) {
        core_.router.onReadFailed(plan, read.member);
        return std::nullopt;
    }
    return evaluate(plan, read, *reply);
}

std::optional<Answer> ReadFlow::evaluate(ReadPlan &plan, const ReadFromMember &read, const MemberReply &reply)
{
    if (reply.refusal == Refusal::StatementFailed) {
        return failedAnswer(errorFor(*reply.refusal, reply.description));
    }
    if (reply.refusal) {
        core_.router.onReadFailed(plan, read.member);
        return std::nullopt;
    }
    if (!core_.router.verify(plan, read.member, reply.position, steadyNow())) {
        return std::nullopt;
    }
    if (!waitDurable(reply.position)) {
        core_.router.onReadFailed(plan, read.member);
        return std::nullopt;
    }
    Answer answer;
    answer.rows = reply.rows;
    answer.rowCount = reply.rowCount;
    answer.servedBy = read.member;
    answer.fromReplica = !read.isPrimary;
    answer.position = reply.position;
    answer.session = statement_.session;
    return answer;
}

bool ReadFlow::waitDurable(const LogPosition &position)
{
    Waiter waiter;
    const WaitList::Entry entry(core_.quorumWaiters, waiter);
    for (;;) {
        const auto quorum = core_.acks.quorumState(position);
        if (quorum != QuorumState::Pending || position.index == 0) {
            return quorum != QuorumState::Superseded;
        }
        const bool signalled = waiter.wait(lock_, deadline_);
        if (!signalled && steadyNow() >= deadline_) {
            return false;
        }
    }
}

void ReadFlow::performAwaitReplica(TimePoint until)
{
    Waiter waiter;
    const WaitList::Entry entry(core_.reportWaiters, waiter);
    waiter.wait(lock_, std::min(until, deadline_));
}

Answer ReadFlow::noPrimary() const
{
    return failedAnswer(Error{ErrorKind::NoPrimary, "no primary could be confirmed within the window"}.withRetryAfter(defaultRetryAfter));
}

} // namespace cardamomstep::impl
