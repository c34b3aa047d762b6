// The owner of one database group on this proxy.
#include "owner/groupowner.h"

#include "owner/impl/groupcore.h"
#include "owner/impl/outcomeflow.h"
#include "owner/impl/readflow.h"
#include "owner/impl/transactionflow.h"
#include "owner/impl/writeflow.h"
#include "owner/transactions.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

GroupOwner::GroupOwner(GroupOwnerOptions options, GroupOwnerHandlers handlers, Transactions &transactions)
    : core_(std::make_shared<impl::GroupCore>(std::move(options), std::move(handlers)))
    , transactions_(transactions)
{
    core_->start();
}

GroupOwner::~GroupOwner()
{
    core_->stop();
}

Answer GroupOwner::run(const Statement &statement, TimePoint deadline)
{
    const auto session = SessionToken::parse(statement.session);
    if (!session) {
        return failedAnswer(session.error());
    }
    impl::TransactionFlow transaction(*core_, transactions_, statement, *session, deadline);
    switch (statement.verb) {
    case Verb::Begin:
        return transaction.begin();
    case Verb::Commit:
        return transaction.commit();
    case Verb::Rollback:
        return transaction.rollback();
    case Verb::Outcome:
        return impl::OutcomeFlow(*core_, statement, *session, deadline).run();
    case Verb::Execute:
        break;
    }
    if (!statement.transaction.empty()) {
        return transaction.execute();
    }
    if (statement.access == Access::Write) {
        return impl::WriteFlow(*core_, statement, *session, deadline).run();
    }
    return impl::ReadFlow(*core_, statement, *session, deadline).run();
}

void GroupOwner::setOwners(const std::vector<InstanceName> &owners, unsigned rank)
{
    const std::lock_guard lock(core_->mutex);
    core_->setOwners(owners);
    core_->feed(trace::SetRank{rank});
}

void GroupOwner::setPolicy(const GroupPolicy &policy)
{
    const std::lock_guard lock(core_->mutex);
    core_->feed(trace::SetPolicy{policy});
}

void GroupOwner::onPeerObservation(const InstanceName &peer, const PeerObservation &observation)
{
    const std::lock_guard lock(core_->mutex);
    core_->feed(trace::Observation{peer, observation});
}

void GroupOwner::pauseWrites(Milliseconds span)
{
    const std::lock_guard lock(core_->mutex);
    core_->writesPausedUntil = span.count() > 0 ? steadyNow() + span : TimePoint{};
    core_->feed(trace::PeerWritePause{core_->writesPausedUntil});
    core_->primaryWaiters.signalAll();
}

void GroupOwner::setLeaving(const std::vector<MemberName> &leaving)
{
    const std::lock_guard lock(core_->mutex);
    core_->setLeaving(leaving);
}

std::optional<MemberName> GroupOwner::leavingPrimary() const
{
    const std::lock_guard lock(core_->mutex);
    const auto primaryInfo = core_->monitor.primary();
    const bool isLeaving = primaryInfo && core_->isMarkedLeaving(primaryInfo->member);
    return isLeaving ? std::optional<MemberName>(primaryInfo->member) : std::nullopt;
}

void GroupOwner::replaceLeavingPrimary()
{
    const std::lock_guard lock(core_->mutex);
    core_->replaceLeavingPrimary();
}

void GroupOwner::closeConnection(const Transactions::Use &use)
{
    const std::lock_guard lock(core_->mutex);
    if (auto *member = core_->find(use.transaction.member)) {
        member->connections.close(use.checkout.key);
    }
}

bool GroupOwner::waitsForConnection() const
{
    const std::lock_guard lock(core_->mutex);
    const auto hasWaiters = [](const auto &item) {
        return item.second->connections.hasWaiters();
    };
    return std::any_of(core_->members.begin(), core_->members.end(), hasWaiters);
}

PeerObservation GroupOwner::observation() const
{
    const std::lock_guard lock(core_->mutex);
    return core_->monitor.observation(steadyNow());
}

std::vector<MemberName> GroupOwner::busyMembers() const
{
    const std::lock_guard lock(core_->mutex);
    std::vector<MemberName> names;
    for (const auto &[name, member] : core_->members) {
        if (member->connections.inUse() > 0) {
            names.push_back(name);
        }
    }
    return names;
}

GroupSnapshot GroupOwner::snapshot() const
{
    const std::lock_guard lock(core_->mutex);
    GroupSnapshot snapshot;
    snapshot.group = core_->options.group;
    snapshot.primary = core_->monitor.primary();
    for (const auto &member : core_->monitor.members()) {
        if (const auto report = core_->monitor.lastReport(member.name)) {
            snapshot.reports.push_back(*report);
        }
    }
    for (const auto lane : {Lane::Primary, Lane::Replica}) {
        snapshot.waiting += core_->admission.waiting(lane);
        snapshot.running += core_->admission.running(lane);
    }
    for (const auto &[name, member] : core_->members) {
        snapshot.openConnections += member->connections.open();
    }
    return snapshot;
}

} // namespace cardamomstep
