// What members answer, and what becomes of statements whose exchange fails.
#include "relay/engine.h"

#include <algorithm>

namespace cardamomstep::relay {

namespace {

/// A link that does not open within this time is given up.
constexpr Milliseconds openPatience{1000};

} // namespace

Link *Engine::findLink(LinkKey key, Group **group, MemberPool **pool)
{
    const auto place = links_.find(key);
    if (place == links_.end()) {
        return nullptr;
    }
    *group = &groupState(place->second.first);
    *pool = &(*group)->pools.at(place->second.second);
    return (*pool)->find(key);
}

void Engine::linkOpened(LinkKey key, const std::optional<Mark> &position, TimePoint now)
{
    Group *group = nullptr;
    MemberPool *pool = nullptr;
    auto *link = findLink(key, &group, &pool);
    if (link == nullptr) {
        return;
    }
    link->phase = LinkPhase::Idle;
    link->since = now;
    if (position && link->member != group->primary.member) {
        pool->position = std::max(pool->position, *position);
    }
    pump(*group, now);
}

void Engine::linkReplied(LinkKey key, const MemberReply &reply, TimePoint now)
{
    Group *group = nullptr;
    MemberPool *pool = nullptr;
    auto *link = findLink(key, &group, &pool);
    if (link == nullptr) {
        return;
    }
    if (link->awaited.empty()) {
        linkClosed(key, std::nullopt, now);
        return;
    }
    const auto awaited = link->awaited.front();
    link->awaited.pop_front();
    pool->heard(now);
    if (awaited.purpose == ReplyPurpose::Statement) {
        pool->answered(now - awaited.sentAt);
    }
    learnPosition(*group, *pool, *link, awaited, reply, now);
    if (awaited.purpose == ReplyPurpose::Setup && reply.fault) {
        actions_.emplace_back(CloseLink{key});
        linkClosed(key, std::nullopt, now);
        return;
    }
    if (link->phase == LinkPhase::Winding) {
        if (link->awaited.empty()) {
            release(*link, *group, now);
        }
        return;
    }
    if (awaited.purpose == ReplyPurpose::Begin) {
        beginReplied(*link, *group, *pool, reply, now);
    } else if (awaited.purpose == ReplyPurpose::Statement) {
        statementReplied(*link, *group, *pool, reply, now);
    }
}

/// Takes positions as evidence: the primary's covers all that was acknowledged before the request left.
void Engine::learnPosition(
    Group &group, MemberPool &pool, const Link &link, const AwaitedReply &awaited, const MemberReply &reply, TimePoint now)
{
    if (!reply.position) {
        return;
    }
    if (link.member == group.primary.member) {
        if (group.primary.usable(now) && awaited.purpose != ReplyPurpose::Setup) {
            group.history.confirm(awaited.sentAt, *reply.position);
        }
        return;
    }
    pool.position = std::max(pool.position, *reply.position);
}

void Engine::beginReplied(Link &link, Group &group, MemberPool &pool, const MemberReply &reply, TimePoint now)
{
    auto &caller = callers_.at(link.caller);
    if (reply.fault) {
        if (*reply.fault == MemberFault::Lagging) {
            pool.laggingUntil = now + limits_.laggingPause;
        }
        exchangeFailed(link.caller, caller, ExchangeEnd::Refused, reply.fault, now);
        return;
    }
    caller.session.opened();
    sendStatement(caller, link, std::nullopt, {}, now);
    (void)group;
}

void Engine::statementReplied(Link &link, Group &group, MemberPool &pool, const MemberReply &reply, TimePoint now)
{
    const auto key = link.caller;
    auto &caller = callers_.at(key);
    const auto stake = stakeOf(caller.session, caller.statement);
    const bool lasting = stake == Stake::Write || stake == Stake::CommitOfWrites;
    if (lasting && caller.sealed && !reply.fault) {
        exchangeFailed(key, caller, ExchangeEnd::Broken, std::nullopt, now);
        return;
    }
    if (reply.fault || reply.signature.empty()) {
        const auto fault = reply.fault.value_or(MemberFault::Unknown);
        if (fault == MemberFault::Lagging) {
            pool.laggingUntil = now + limits_.laggingPause;
        }
        if (fault == MemberFault::UnknownStatement) {
            link.prepared.clear();
        }
        exchangeFailed(key, caller, ExchangeEnd::Refused, fault, now);
        return;
    }
    budget_.succeeded();
    if (lasting) {
        group.stalledSince.reset();
        group.acknowledged = std::max(group.acknowledged, reply.position.value_or(Mark{}));
    }
    caller.session.succeeded(caller.statement, reply.position);
    CallerReply answered;
    answered.rows = reply.rows;
    answered.signature = reply.signature;
    answered.state = caller.session.state();
    answered.position = reply.position;
    answer(key, caller, std::move(answered), now);
    if (caller.session.phase() == TransactionPhase::None) {
        caller.link = 0;
        link.caller = 0;
        release(link, group, now);
    }
}

/// Sends the statement again where that is harmless and timely, or answers with what is true.
void Engine::exchangeFailed(CallerKey key, Caller &caller, ExchangeEnd end, std::optional<MemberFault> fault, TimePoint now)
{
    const bool announced = caller.session.phase() == TransactionPhase::Announced;
    const auto stake = announced ? Stake::Read : stakeOf(caller.session, caller.statement);
    auto outcome = judge(stake, end, fault);
    Group *group = nullptr;
    MemberPool *pool = nullptr;
    auto *link = findLink(caller.link, &group, &pool);
    const auto member = link == nullptr ? MemberName{} : link->member;
    const bool free = fault == MemberFault::Lagging || fault == MemberFault::UnknownStatement;
    const bool again = outcome.mayResend && now < caller.giveUpAt && caller.attempts < limits_.maxAttempts && (free || budget_.take());
    actions_.emplace_back(LogDecision{LogLevel::Info,
                                      "exchange_failed",
                                      {{"id", caller.statement.id},
                                       {"group", caller.group.text()},
                                       {"member", member.text()},
                                       {"kind", std::string(answerRule(outcome.error.kind).name)},
                                       {"end", static_cast<std::int64_t>(end)},
                                       {"fault", fault ? static_cast<std::int64_t>(*fault) : -1},
                                       {"after_ms", static_cast<std::int64_t>(wholeMilliseconds(now - caller.sentAt).count())}}});
    if (again && end == ExchangeEnd::Silent && link != nullptr && !announced) {
        link->caller = 0;
        link->phase = LinkPhase::Winding;
        caller.link = 0;
    } else if (end == ExchangeEnd::Silent && link != nullptr) {
        pool->failed(now);
        dropLink(caller.link, *group, *pool);
        caller.link = 0;
    } else if (end == ExchangeEnd::Refused && link != nullptr && (announced || caller.session.phase() == TransactionPhase::None)) {
        link->caller = 0;
        caller.link = 0;
        release(*link, *group, now);
    }
    if (again) {
        if (!member.empty() && fault != MemberFault::UnknownStatement) {
            caller.avoid.push_back(member);
        }
        enqueue(key, caller, groupState(caller.group), now);
        return;
    }
    if (answerRule(outcome.error.kind).retryable && outcome.error.ran == Ran::No) {
        outcome.error = std::move(outcome.error).comingBackAfter(comeBack(groupState(caller.group)));
    }
    fail(key, caller, std::move(outcome.error), now);
}

void Engine::linkClosed(LinkKey key, std::optional<MemberFault> refusal, TimePoint now)
{
    Group *group = nullptr;
    MemberPool *pool = nullptr;
    auto *link = findLink(key, &group, &pool);
    if (link == nullptr) {
        return;
    }
    const auto lentTo = link->caller;
    const bool wasOpening = link->phase == LinkPhase::Opening;
    const bool wasIdle = link->phase == LinkPhase::Idle;
    actions_.emplace_back(LogDecision{LogLevel::Info,
                                      "link_closed",
                                      {{"member", link->member.text()},
                                       {"opening", static_cast<std::int64_t>(wasOpening ? 1 : 0)},
                                       {"refusal", refusal ? static_cast<std::int64_t>(*refusal) : -1}}});
    pool->remove(key);
    links_.erase(key);
    if (refusal == MemberFault::TooManyConnections) {
        pool->heard(now);
        pool->limitReached(now);
    } else if (!wasIdle) {
        pool->failed(now);
    }
    const auto found = callers_.find(lentTo);
    if (lentTo == 0 || found == callers_.end()) {
        return;
    }
    auto &caller = found->second;
    caller.link = 0;
    if (caller.activity == Activity::Resting) {
        caller.session.lost();
        return;
    }
    exchangeFailed(lentTo, caller, ExchangeEnd::Broken, std::nullopt, now);
}

/// Makes a link free for others.
void Engine::release(Link &link, Group &group, TimePoint now)
{
    link.caller = 0;
    link.phase = LinkPhase::Idle;
    link.since = now;
    auto &pool = group.pools.at(link.member);
    const bool leaving = pool.entry().draining && link.member != group.primary.member;
    if (leaving) {
        dropLink(link.key, group, pool);
        return;
    }
    pump(group, now);
    if (const auto surplus = pool.surplus(now); surplus != 0) {
        dropLink(surplus, group, pool);
    }
}

/// Ends the member's transaction on a link whose caller was answered.
void Engine::rollBack(Link &link, TimePoint now)
{
    link.phase = LinkPhase::Winding;
    await(link, ReplyPurpose::Rollback, now, openPatience);
    actions_.emplace_back(SendToMember{link.key, {MemberRequest{MemberVerb::Rollback}}});
}

void Engine::dropLink(LinkKey key, Group & /*group*/, MemberPool &pool)
{
    pool.remove(key);
    links_.erase(key);
    actions_.emplace_back(CloseLink{key});
}

/// Closes links that are silent, that do not open, or that are not needed.
void Engine::wakeLinks(Group &group, TimePoint now)
{
    for (auto &[name, pool] : group.pools) {
        std::vector<LinkKey> silent;
        for (const auto &[key, link] : pool.links()) {
            const bool unopened = link.phase == LinkPhase::Opening && now - link.since >= openPatience;
            const bool unanswered = link.phase == LinkPhase::Winding && !link.awaited.empty() && now >= link.awaited.front().silentAt;
            if (unopened || unanswered) {
                silent.push_back(key);
            }
        }
        for (const auto key : silent) {
            actions_.emplace_back(CloseLink{key});
            linkClosed(key, std::nullopt, now);
        }
        const auto surplus = pool.surplus(now);
        const bool leaving = pool.entry().draining && name != group.primary.member;
        if (surplus != 0) {
            dropLink(surplus, group, pool);
        }
        if (!leaving) {
            continue;
        }
        while (auto *idle = pool.bestIdle({})) {
            dropLink(idle->key, group, pool);
        }
    }
}

} // namespace cardamomstep::relay
