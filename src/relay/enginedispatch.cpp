// Which connection serves which statement, when another one is opened, and how it is lined up with a session.
#include "relay/engine.h"

#include <algorithm>

namespace cardamomstep::relay {

namespace {

/// Answers on requests of our own are late after this time.
constexpr Milliseconds ownPatience{1000};
/// Part of a route's staleness bound after which unused evidence is no longer kept fresh.
constexpr int idleBounds = 4;

} // namespace

/// Serves those that wait, most urgent first.
void Engine::pump(Group &group, TimePoint now)
{
    std::size_t index = 0;
    while (index < group.waiting.size()) {
        const auto key = group.waiting[index].second;
        auto &caller = callers_.at(key);
        if (serve(key, caller, group, now)) {
            group.waiting.erase(group.waiting.begin() + static_cast<std::ptrdiff_t>(index));
        } else {
            ++index;
        }
    }
    openLinks(group, now);
}

/// Lends a link to \a caller if one is free for it.
bool Engine::serve(CallerKey key, Caller &caller, Group &group, TimePoint now)
{
    const auto required = requiredMark(caller, group, now);
    MemberPool *pool = nullptr;
    if (!needsPrimary(caller) && required) {
        pool = chooseReader(caller, group, required, now);
    } else {
        pool = primaryPool(group, now);
    }
    auto *link = pool == nullptr ? nullptr : pool->bestIdle(caller.session.values());
    if (link == nullptr) {
        return false;
    }
    lend(key, caller, *link, required, now);
    return true;
}

/// The position that a replica must hold to serve the caller's read; nothing when it is not known.
std::optional<Mark> Engine::requiredMark(const Caller &caller, Group &group, TimePoint now) const
{
    if (needsPrimary(caller)) {
        return std::nullopt;
    }
    group.evidenceUsedAt = now;
    auto required = group.history.markCovering(caller.freshFrom - caller.route.maxStaleness);
    if (required && caller.route.consistency == Consistency::ReadYourWrites && caller.session.lastCommit()) {
        required = std::max(*required, *caller.session.lastCommit());
    }
    return required;
}

MemberPool *Engine::primaryPool(Group &group, TimePoint now)
{
    if (!group.primary.usable(now)) {
        return nullptr;
    }
    const auto found = group.pools.find(group.primary.member);
    return found == group.pools.end() ? nullptr : &found->second;
}

/// The member with an idle link that should answer a read soonest; the primary only where it is much sooner.
MemberPool *Engine::chooseReader(const Caller &caller, Group &group, const std::optional<Mark> &required, TimePoint now)
{
    MemberPool *best = nullptr;
    Microseconds least{0};
    for (auto &[name, pool] : group.pools) {
        const bool primary = name == group.primary.member;
        const bool avoided = std::find(caller.avoid.begin(), caller.avoid.end(), name) != caller.avoid.end();
        if (avoided || pool.count(LinkPhase::Idle) == 0 || !pool.usable(now)) {
            continue;
        }
        if (primary ? !group.primary.usable(now) : pool.entry().draining) {
            continue;
        }
        if (!primary && now < pool.laggingUntil && pool.position < *required) {
            continue;
        }
        const auto running = static_cast<std::int64_t>(pool.count(LinkPhase::Lent));
        auto cost = pool.answerTime().mean() * (1 + running) / 2 + Microseconds{static_cast<std::int64_t>(random_.below(2'000))};
        cost += primary ? limits_.primaryPenalty : Microseconds{0};
        cost += pool.entry().failureDomain == own_ ? Microseconds{0} : limits_.remotePenalty;
        if (best == nullptr || cost < least) {
            best = &pool;
            least = cost;
        }
    }
    return best;
}

/// Opens links for those that wait, as far as shares allow.
void Engine::openLinks(Group &group, TimePoint now)
{
    std::size_t forPrimary = 0;
    std::size_t forReaders = 0;
    for (const auto &[urgency, key] : group.waiting) {
        const auto &caller = callers_.at(key);
        const bool primary = needsPrimary(caller) || !requiredMark(caller, group, now);
        ++(primary ? forPrimary : forReaders);
    }
    for (auto &[name, pool] : group.pools) {
        const bool primary = name == group.primary.member;
        if (primary ? !group.primary.usable(now) : pool.entry().draining) {
            continue;
        }
        const auto wanted = primary ? forPrimary + forReaders / 4 : forReaders;
        const bool keepOne = pool.size() == 0 && pool.fairShare() > 0 && !drainUntil_;
        auto opening = pool.count(LinkPhase::Opening);
        while ((opening < wanted || (keepOne && opening == 0)) && opening < limits_.opensAtOnce && pool.mayOpen(now)) {
            openLink(group, pool, now);
            ++opening;
        }
    }
}

void Engine::openLink(Group &group, MemberPool &pool, TimePoint now)
{
    const auto key = nextLink_++;
    auto &link = pool.add(key, now);
    link.group = group.config.group;
    links_.emplace(key, std::make_pair(link.group, link.member));
    actions_.emplace_back(OpenLink{key, link.member, link.group, pool.entry().address});
}

void Engine::lend(CallerKey key, Caller &caller, Link &link, const std::optional<Mark> &required, TimePoint now)
{
    auto &group = groupState(caller.group);
    link.phase = LinkPhase::Lent;
    link.caller = key;
    link.since = now;
    caller.link = link.key;
    caller.atPrimary = link.member == group.primary.member;
    ++caller.attempts;
    const auto mustHold = caller.atPrimary ? std::nullopt : required;
    if (caller.session.phase() == TransactionPhase::None) {
        sendStatement(caller, link, mustHold, {}, now);
        return;
    }
    caller.activity = Activity::Beginning;
    std::vector<MemberRequest> requests;
    lineUp(caller, link, requests, now);
    MemberRequest begin;
    begin.verb = caller.session.readOnlyTransaction() ? MemberVerb::BeginReadOnly : MemberVerb::Begin;
    begin.mustHold = mustHold;
    requests.push_back(std::move(begin));
    await(link, ReplyPurpose::Begin, now, caller.route.statementTimeout);
    caller.sentAt = now;
    setTimer(key, caller, caller.giveUpAt);
    actions_.emplace_back(SendToMember{link.key, std::move(requests)});
}

/// Sends the caller's statement, after \a requests.
void Engine::sendStatement(
    Caller &caller, Link &link, const std::optional<Mark> &required, std::vector<MemberRequest> requests, TimePoint now)
{
    auto &group = groupState(caller.group);
    auto &pool = group.pools.at(link.member);
    lineUp(caller, link, requests, now);
    MemberRequest request;
    request.id = caller.statement.id;
    request.text = caller.statement.text;
    request.mustHold = required;
    if (caller.statement.kind == StatementKind::Execute) {
        request.verb = MemberVerb::ExecutePrepared;
        request.name = memberName(*caller.session.prepared(caller.statement.name));
        request.text = caller.statement.argument;
    }
    requests.push_back(std::move(request));
    await(link, ReplyPurpose::Statement, now, caller.route.statementTimeout);
    caller.activity = Activity::Running;
    caller.sentAt = now;
    const auto stake = stakeOf(caller.session, caller.statement);
    if (stake == Stake::Write || stake == Stake::CommitOfWrites) {
        group.stalledSince = group.stalledSince.value_or(now);
    }
    const auto late = wholeMilliseconds(pool.answerTime().withMargin(limits_.lateFactor));
    auto due = caller.giveUpAt;
    if (stake == Stake::Read && caller.attempts < limits_.maxAttempts) {
        due = std::min<TimePoint>(due, now + std::max(limits_.readPatience, late));
    } else if (stake == Stake::Inside) {
        due = std::min<TimePoint>(due, now + std::max(limits_.transactionPatience, late));
    }
    setTimer(link.caller, caller, due);
    actions_.emplace_back(SendToMember{link.key, std::move(requests)});
}

/// Makes the link carry the session's values and the prepared statement that is about to run.
void Engine::lineUp(const Caller &caller, Link &link, std::vector<MemberRequest> &requests, TimePoint now)
{
    const auto &values = caller.session.values();
    const bool surplus =
        std::any_of(link.values.begin(), link.values.end(), [&values](const auto &held) { return !values.contains(held.first); });
    const auto add = [&](MemberRequest request) {
        requests.push_back(std::move(request));
        await(link, ReplyPurpose::Setup, now, ownPatience);
    };
    if (surplus) {
        add(MemberRequest{MemberVerb::ResetSession});
        link.values.clear();
        link.prepared.clear();
    }
    for (const auto &[name, value] : values) {
        auto &held = link.values[name];
        if (held != value) {
            held = value;
            add(MemberRequest{MemberVerb::SetValue, {}, value, name});
        }
    }
    if (caller.statement.kind != StatementKind::Execute) {
        return;
    }
    const auto &shape = *caller.session.prepared(caller.statement.name);
    if (link.prepared.insert(memberName(shape)).second) {
        add(MemberRequest{MemberVerb::Prepare, {}, shape.shape, memberName(shape), shape.access});
    }
}

void Engine::await(Link &link, ReplyPurpose purpose, TimePoint now, Milliseconds patience)
{
    link.awaited.push_back(AwaitedReply{purpose, now, now + patience});
}

/// Asks the primary for its position where reads depend on it and no statement brought it lately.
void Engine::probe(Group &group, TimePoint now)
{
    if (now - group.evidenceUsedAt > limits_.probeInterval * idleBounds || now - group.probedAt < limits_.probeInterval) {
        return;
    }
    if (group.history.markCovering(now - limits_.probeInterval)) {
        return;
    }
    auto *pool = primaryPool(group, now);
    auto *link = pool == nullptr ? nullptr : pool->bestIdle({});
    if (link == nullptr) {
        return;
    }
    group.probedAt = now;
    link->phase = LinkPhase::Winding;
    link->since = now;
    await(*link, ReplyPurpose::Probe, now, ownPatience);
    actions_.emplace_back(SendToMember{link->key, {MemberRequest{MemberVerb::Status}}});
}

} // namespace cardamomstep::relay
