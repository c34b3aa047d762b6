// Feeds the state machines of one group and performs their actions.
#include "owner/impl/groupcore.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::impl {

namespace {

/// Timeout of the reports that a read index round requests.
constexpr Milliseconds roundReportTimeout{150};
/// How long another owner's earlier quota still counts as in use; see ConnectionQuota.
constexpr Milliseconds quotaExpiry{5'000};
/// Longest time between two iterations of the ticker.
constexpr Milliseconds maxTickInterval{100};
/// Number of rounds whose results are kept for threads that have yet to read them.
constexpr std::size_t maxRoundResults = 64;

std::vector<MemberName> namesOf(const std::vector<GroupMember> &members)
{
    std::vector<MemberName> names;
    names.reserve(members.size());
    for (const auto &member : members) {
        names.push_back(member.name);
    }
    return names;
}

template<typename... Functions>
struct Overloaded : Functions... {
    using Functions::operator()...;
};
template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

GroupCore::GroupCore(GroupOwnerOptions groupOptions, GroupOwnerHandlers groupHandlers)
    : options(std::move(groupOptions))
    , handlers(std::move(groupHandlers))
    , startedAt_(steadyNow())
    , monitor(options.members, options.rank, options.policy, options.seed, startedAt_)
    , acks(namesOf(options.members))
    , rounds(namesOf(options.members))
    , quota(options.identity.instance, options.maxConnections, quotaExpiry)
    , random(options.seed ^ stableHash(options.group.text()))
{
    router.setMembers(namesOf(options.members));
    admission.setShares(options.shares);
    for (const auto &member : options.members) {
        members.emplace(member.name, std::make_unique<Member>(member, options.identity));
    }
}

void GroupCore::start()
{
    const std::lock_guard lock(mutex);
    setOwners(options.owners);
    beginTrace();
    feed(trace::Tick{});
    ticker_ = std::thread([self = shared_from_this()] { self->runTicker(); });
}

void GroupCore::stop()
{
    {
        const std::lock_guard lock(mutex);
        if (stopping_) {
            return;
        }
        stopping_ = true;
    }
    tickerCondition_.notify_one();
    if (ticker_.joinable()) {
        ticker_.join();
    }
    // The workers are joined here. They lock the mutex to apply their last result, so it must not be held.
    std::map<MemberName, std::unique_ptr<Member>> stopped;
    {
        const std::lock_guard lock(mutex);
        endTrace();
        stopped.swap(members);
    }
}

// Inputs and actions of the monitor

void GroupCore::feed(const trace::GroupInput &input)
{
    const auto now = steadyNow();
    const auto actions = trace::apply(monitor, input, now);
    if (trace_.is_open()) {
        trace_ << trace::stepLine(input, actions, now) << '\n';
    }
    perform(actions);
}

void GroupCore::beginTrace()
{
    if (options.traceFile.empty()) {
        return;
    }
    trace_.open(options.traceFile);
    trace_ << trace::startLine({options.group, options.members, options.rank, options.policy, options.seed, startedAt_}) << '\n';
}

void GroupCore::endTrace()
{
    if (trace_.is_open()) {
        trace_ << trace::outcomeLine(monitor.primary(), steadyNow()) << '\n';
        trace_.close();
    }
}

void GroupCore::perform(const GroupActions &actions)
{
    for (const auto &action : actions) {
        std::visit(Overloaded{
                       [this](const SendReport &send) { sendReport(send); },
                       [this](const SendAdopt &send) { sendOrder(send.member, OrderKind::Adopt, send.term, nullptr, send.timeout); },
                       [this](const SendLead &send) { sendOrder(send.member, OrderKind::Lead, send.term, nullptr, send.timeout); },
                       [this](const SendFollow &send) { sendOrder(send.member, OrderKind::Follow, send.term, &send, send.timeout); },
                       [this](const QueryPeers & /*query*/) { handlers.queryPeers(options.group); },
                       [this](const PauseWrites &pause) {
                           writesPausedUntil = pause.until;
                           handlers.pausePeerWrites(options.group, wholeMilliseconds(pause.until - steadyNow()));
                       },
                       [this](const ResumeWrites & /*resume*/) {
                           writesPausedUntil = TimePoint{};
                           primaryWaiters.signalAll();
                           handlers.pausePeerWrites(options.group, Milliseconds{0});
                       },
                       [this](const PrimaryChanged &change) { onPrimaryChanged(change); },
                       [this](const AuditEvent &event) {
                           if (event.kind == AuditEventKind::PrimaryLost) {
                               router.clearPrimary();
                           }
                           handlers.auditEvent(options.group, event);
                           primaryWaiters.signalAll();
                       },
                   },
                   action);
    }
    tickerDue_ = true;
    tickerCondition_.notify_one();
}

void GroupCore::sendReport(const SendReport &action)
{
    auto *member = find(action.member);
    if (member == nullptr) {
        return;
    }
    const auto previousReport = monitor.lastReport(action.member);
    (void)member->reportWorker.add([self = weak_from_this(), action, previousReport](HttpControlConnection &connection) {
        const auto sentAt = steadyNow();
        const bool waits = previousReport && action.wait.count() > 0;
        const auto result =
            waits ? connection.reportAfter(*previousReport, action.wait, action.timeout) : connection.report(action.timeout);
        const auto core = self.lock();
        if (!core) {
            return;
        }
        const std::lock_guard lock(core->mutex);
        if (const auto *report = std::get_if<MemberReport>(&result)) {
            core->onMemberReport(*report, sentAt);
        } else {
            core->router.setSuspect(action.member, true);
            core->feed(trace::ReportFailure{action.member, std::get<ConnectionFailure>(result)});
        }
    });
}

void GroupCore::onMemberReport(const MemberReport &report, TimePoint sentAt)
{
    onState(report.member, report.log, report.adopted, sentAt);
    const auto primaryInfo = monitor.primary();
    const bool fromPrimary = primaryInfo && primaryInfo->member == report.member;
    // A leaving replica must not be promoted. A leaving primary is replaced by replaceLeavingPrimary() once its transactions have ended.
    feed(trace::Report{report.member, fromPrimary ? report : withLeaving(report), sentAt});
    updateRouter(report);
    router.setSuspect(report.member, false);
    reportWaiters.signalAll();
}

bool GroupCore::isMarkedLeaving(const MemberName &member) const
{
    return std::find(leaving_.begin(), leaving_.end(), member) != leaving_.end();
}

MemberReport GroupCore::withLeaving(MemberReport report) const
{
    report.leaving = report.leaving || isMarkedLeaving(report.member);
    return report;
}

void GroupCore::updateRouter(const MemberReport &report)
{
    router.report(withLeaving(report), steadyNow());
}

void GroupCore::replaceLeavingPrimary()
{
    const auto primaryInfo = monitor.primary();
    if (!primaryInfo) {
        return;
    }
    if (isMarkedLeaving(primaryInfo->member) && switchoverRequested_ != primaryInfo->member) {
        switchoverRequested_ = primaryInfo->member;
        feed(trace::RequestSwitchover{primaryInfo->member});
    }
}

void GroupCore::setLeaving(const std::vector<MemberName> &leaving)
{
    leaving_ = leaving;
    for (const auto &member : monitor.members()) {
        if (const auto report = monitor.lastReport(member.name)) {
            updateRouter(*report);
        }
    }
    if (!switchoverRequested_.empty() && !isMarkedLeaving(switchoverRequested_)) {
        switchoverRequested_ = MemberName{};
        feed(trace::RequestSwitchover{switchoverRequested_});
    }
    primaryWaiters.signalAll();
}

void GroupCore::sendOrder(const MemberName &name, OrderKind kind, const Term &term, const SendFollow *follow, Milliseconds timeout)
{
    auto *member = find(name);
    if (member == nullptr) {
        return;
    }
    const auto target = follow != nullptr ? *follow : SendFollow{};
    (void)member->orderWorker.add([self = weak_from_this(), name, kind, term, target, timeout](HttpControlConnection &connection) {
        const auto sentAt = steadyNow();
        const auto result = kind == OrderKind::Adopt ? connection.adopt(term, timeout)
            : kind == OrderKind::Lead                ? connection.lead(term, timeout)
                                                     : connection.follow(term, target.primary, target.address, timeout);
        const auto core = self.lock();
        if (!core) {
            return;
        }
        const std::lock_guard lock(core->mutex);
        if (const auto *reply = std::get_if<TermReply>(&result)) {
            core->onState(name, reply->report.log, reply->report.adopted, sentAt);
            core->updateRouter(reply->report);
            core->feed(trace::OrderReply{name, kind, term, *reply, sentAt});
        } else {
            core->feed(trace::OrderFailure{name, kind, term, std::get<ConnectionFailure>(result)});
        }
    });
}

void GroupCore::onPrimaryChanged(const PrimaryChanged &change)
{
    router.setPrimary(change.member);
    rounds.setPrimary(change.member, change.term);
    refreshSlots();
    handlers.primaryChanged(options.group, change);
    primaryWaiters.signalAll();
    startDueRounds();
}

void GroupCore::onState(const MemberName &member, const LogPosition &log, const Term &adopted, TimePoint sentAt)
{
    rounds.onState(member, adopted, log, sentAt);
    if (acks.onState(member, log, adopted)) {
        quorumWaiters.signalAll();
    }
    startDueRounds();
}

// Read index rounds

void GroupCore::startDueRounds()
{
    const auto now = steadyNow();
    while (const auto result = rounds.takeResult(now)) {
        if (result->leaderConfirmed) {
            router.confirm(roundStartedAt_[result->round], result->readPosition);
        }
        roundResults_[result->round] = *result;
        roundStartedAt_.erase(result->round);
        roundWaiters.signalAll();
    }
    while (roundResults_.size() > maxRoundResults) {
        roundResults_.erase(roundResults_.begin());
    }
    if (const auto round = rounds.begin(now)) {
        roundStartedAt_[*round] = now;
        requestRoundReports(*round);
    }
}

void GroupCore::requestRoundReports(RoundNumber /*round*/)
{
    for (auto &[name, member] : members) {
        (void)member->orderWorker.add([self = weak_from_this(), name = name](HttpControlConnection &connection) {
            const auto sentAt = steadyNow();
            const auto result = connection.report(roundReportTimeout);
            const auto core = self.lock();
            const auto *report = std::get_if<MemberReport>(&result);
            if (!core || report == nullptr) {
                return;
            }
            const std::lock_guard lock(core->mutex);
            core->updateRouter(*report);
            core->onState(name, report->log, report->adopted, sentAt);
        });
    }
}

std::optional<RoundResult> GroupCore::confirmPrimary(std::unique_lock<std::mutex> &lock, TimePoint deadline)
{
    const auto round = rounds.join(steadyNow());
    startDueRounds();
    Waiter waiter;
    const WaitList::Entry entry(roundWaiters, waiter);
    for (;;) {
        const auto found = roundResults_.find(round);
        if (found != roundResults_.end()) {
            return found->second;
        }
        if (steadyNow() >= deadline || stopping_) {
            return std::nullopt;
        }
        waiter.wait(lock, deadline);
    }
}

// Slots and connections

void GroupCore::setOwners(const std::vector<InstanceName> &owners)
{
    quota.setOwners(owners, steadyNow());
    refreshSlots();
}

void GroupCore::refreshSlots()
{
    const auto now = steadyNow();
    const auto allowed = std::max(1U, quota.allowed(now));
    const auto primaryInfo = monitor.primary();
    std::uint32_t replicaSlots = 0;
    for (auto &[name, member] : members) {
        member->connections.setAllowed(allowed, now);
        const bool isPrimary = primaryInfo && primaryInfo->member == name;
        replicaSlots += isPrimary ? 0 : allowed;
    }
    apply(admission.setSlots(Lane::Primary, allowed, now));
    apply(admission.setSlots(Lane::Replica, std::max(1U, replicaSlots), now));
}

void GroupCore::apply(const std::vector<AdmissionAction> &actions)
{
    for (const auto &action : actions) {
        const auto ticket = std::visit([](const auto &decided) { return decided.ticket; }, action);
        const auto found = tickets_.find(ticket);
        if (found == tickets_.end()) {
            continue;
        }
        if (const auto *refused = std::get_if<Refused>(&action)) {
            found->second.refusal = refused->error;
        } else {
            found->second.admitted = true;
        }
        found->second.waiter->signal();
    }
}

Result<std::uint64_t> GroupCore::admit(std::unique_lock<std::mutex> &lock, Lane lane, const ServiceName &service, TimePoint deadline)
{
    const auto ticket = nextTicket_++;
    Waiter waiter;
    tickets_[ticket].waiter = &waiter;
    apply(admission.request({ticket, lane, service, deadline}, steadyNow()));
    tickerDue_ = true;
    tickerCondition_.notify_one();
    for (;;) {
        auto &state = tickets_[ticket];
        if (state.refusal) {
            auto error = *state.refusal;
            tickets_.erase(ticket);
            return error;
        }
        if (state.admitted) {
            tickets_.erase(ticket);
            return ticket;
        }
        if (!waiter.wait(lock, deadline)) {
            apply(admission.wake(steadyNow()));
        }
        if (steadyNow() > deadline && !tickets_[ticket].refusal && !tickets_[ticket].admitted) {
            apply(admission.cancel(ticket, steadyNow()));
            tickets_.erase(ticket);
            return Error{ErrorKind::Overloaded, "no slot became free within the window"};
        }
    }
}

void GroupCore::releaseSlot(std::uint64_t ticket)
{
    apply(admission.finished(ticket, steadyNow()));
}

bool GroupCore::waitForWrites(std::unique_lock<std::mutex> &lock, TimePoint deadline)
{
    Waiter waiter;
    const WaitList::Entry entry(primaryWaiters, waiter);
    for (;;) {
        const auto now = steadyNow();
        if (now >= writesPausedUntil) {
            return true;
        }
        if (now >= deadline) {
            return false;
        }
        waiter.wait(lock, std::min(deadline, writesPausedUntil));
    }
}

LeaderInfo GroupCore::leader() const
{
    const auto primaryInfo = monitor.primary();
    if (!primaryInfo) {
        return {};
    }
    return {primaryInfo->term, primaryInfo->confirmed};
}

GroupCore::Member *GroupCore::find(const MemberName &name)
{
    const auto found = members.find(name);
    return found == members.end() ? nullptr : found->second.get();
}

std::string GroupCore::nextExchange()
{
    return options.identity.instance.text() + "-" + std::to_string(random() >> 32U) + "-" + std::to_string(nextExchange_++);
}

// The ticker calls the state machines at the times that they request.

void GroupCore::runTicker()
{
    std::unique_lock lock(mutex);
    while (!stopping_) {
        const auto wake = std::chrono::steady_clock::time_point(nextWake().time_since_epoch());
        tickerCondition_.wait_until(lock, wake, [this] { return stopping_ || tickerDue_; });
        tickerDue_ = false;
        const auto now = steadyNow();
        if (monitor.nextWake() <= now) {
            feed(trace::Tick{});
        }
        apply(admission.wake(now));
        startDueRounds();
        for (auto &[name, member] : members) {
            member->connections.closeIdle(now);
        }
    }
}

TimePoint GroupCore::nextWake() const
{
    auto wake = std::min(monitor.nextWake(), steadyNow() + maxTickInterval);
    if (const auto due = rounds.nextWake()) {
        wake = std::min(wake, *due);
    }
    if (const auto due = admission.nextWake()) {
        wake = std::min(wake, *due);
    }
    return wake;
}

} // namespace cardamomstep::impl
