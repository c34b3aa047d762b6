// The events of the model, each as the I/O layer of the session proxy would perform it.
#include "tablemodel.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::leadership::test {

TableModel::TableModel(std::size_t proxies)
{
    for (std::size_t index = 0; index < proxies; ++index) {
        proxies_.push_back(newProxy(index, true));
    }
    for (std::size_t index = 0; index < proxies; ++index) {
        apply({TableEventKind::List, index});
        apply({TableEventKind::Register, index});
    }
    apply({TableEventKind::ContendForLease, 0});
    now_ += Milliseconds{400};
    apply({TableEventKind::ContendForLease, 0});
    for (std::size_t index = 0; index < proxies; ++index) {
        apply({TableEventKind::List, index});
    }
    now_ += Milliseconds{1000};
    apply({TableEventKind::HolderDuties, 0});
    apply({TableEventKind::HolderDuties, 0});
    for (std::size_t index = 1; index < proxies; ++index) {
        apply({TableEventKind::RenewFromHolder, index});
    }
}

bool TableModel::enabled(const TableEvent &event) const
{
    if (event.kind == TableEventKind::Rise) {
        return event.argument + 1 < history_.size() && epoch_ < maxEpoch;
    }
    if (event.kind == TableEventKind::Wait) {
        return event.argument < std::size(waits);
    }
    if (event.argument >= proxies_.size()) {
        return false;
    }
    const auto &proxy = proxies_[event.argument];
    switch (event.kind) {
    case TableEventKind::RenewFromHolder:
        return !holds(proxy) && holder() != nullptr;
    case TableEventKind::RenewFromPeer:
        return !holds(proxy);
    case TableEventKind::HolderDuties:
        return holds(proxy) && proxy.recordsCurrent;
    case TableEventKind::StartChange:
        return mayStartChange(proxy);
    case TableEventKind::Quiesce:
        return changingHolder() != nullptr;
    case TableEventKind::Promote:
        return mayPromote(proxy);
    case TableEventKind::Publish:
        return holds(proxy) && proxy.change && proxy.change->promoted;
    default:
        return true;
    }
}

void TableModel::apply(const TableEvent &event)
{
    if (event.kind == TableEventKind::Rise) {
        rise(event.argument + 1);
    } else if (event.kind == TableEventKind::Wait) {
        now_ += waits[event.argument];
    } else {
        applyAt(event.kind, event.argument);
    }
    for (auto &proxy : proxies_) {
        noticeLostLease(proxy);
    }
    check();
}

TableModel::Proxy TableModel::newProxy(std::size_t index, bool newFleet)
{
    Proxy proxy{FleetLease(InstanceName{"proxy-" + std::to_string(index)}, index + 1, newFleet), {}, {}, RecordRecovery(), {}, {}, {}, {}};
    proxy.newFleet = newFleet;
    return proxy;
}

TableModel::Proxy *TableModel::changingHolder()
{
    const auto found = std::find_if(proxies_.begin(), proxies_.end(), [this](const Proxy &proxy) { return holds(proxy) && proxy.change; });
    return found == proxies_.end() ? nullptr : &*found;
}

void TableModel::applyAt(TableEventKind kind, std::size_t index)
{
    auto &proxy = proxies_[index];
    switch (kind) {
    case TableEventKind::ContendForLease:
        contend(proxy, index);
        break;
    case TableEventKind::List:
        list(proxy, index);
        break;
    case TableEventKind::Register:
        registerSelf(proxy, index);
        break;
    case TableEventKind::RenewFromHolder:
        renewFromHolder(proxy, index);
        break;
    case TableEventKind::RenewFromPeer:
        renewFromPeer(proxy, index);
        break;
    case TableEventKind::HolderDuties:
        holderDuties(proxy);
        break;
    case TableEventKind::StartChange:
        startChange(proxy, index);
        break;
    case TableEventKind::Quiesce:
        quiesce(proxy, index);
        break;
    case TableEventKind::Promote:
        promote(proxy);
        break;
    case TableEventKind::Publish:
        publish(proxy);
        break;
    default:
        proxy = newProxy(index, false);
        break;
    }
}

void TableModel::observeEpoch(Proxy &proxy)
{
    const auto known = proxy.epochs.newest();
    const bool first = !proxy.epochs.known();
    if (!proxy.epochs.observe(epoch()) || (!first && known == epoch())) {
        return;
    }
    const bool held = holds(proxy);
    proxy.lease.onStoreEpoch({epoch(), first}, now_);
    std::vector<GroupName> remembered;
    if (held && proxy.recordsCurrent) {
        for (const auto &record : proxy.recovery.trustedRecords(proxy.table)) {
            remembered.push_back(record.group);
        }
    }
    proxy.recovery.onStoreEpoch(epoch(), remembered);
    if (held) {
        proxy.grantEpoch.onStoreEpoch(epoch(), now_);
    }
    proxy.change.reset();
}

TableModel::Stored &TableModel::beginWrite()
{
    history_.push_back(history_.back());
    ++history_.back().revision;
    return history_.back();
}

std::optional<Revision> TableModel::writeRecord(Proxy &proxy, GroupRecord record)
{
    const bool sendable = record.revision.value == 0 || record.revision.epoch >= proxy.epochs.newest();
    const auto sentIn = proxy.epochs.newest();
    const auto &present = history_.back().record;
    const auto number = present ? present->revision.value : 0;
    if (!sendable || number != record.revision.value) {
        return std::nullopt;
    }
    auto &stored = beginWrite();
    record.revision = Revision{stored.revision, epoch()};
    stored.record = record;
    observeEpoch(proxy);
    return sentIn == epoch() ? std::optional(record.revision) : std::nullopt;
}

void TableModel::rise(std::size_t lostWrites)
{
    for (std::size_t lost = 0; lost < lostWrites; ++lost) {
        history_.pop_back();
    }
    ++epoch_;
}

void TableModel::contend(Proxy &proxy, std::size_t index)
{
    observeEpoch(proxy);
    auto state = history_.back().lease;
    if (state) {
        state->revision.epoch = epoch();
    }
    proxy.lease.onStoredLease(state, epoch(), now_);
    const auto write = proxy.lease.next(now_);
    if (!write) {
        return;
    }
    auto &stored = beginWrite();
    const Revision revision{stored.revision, epoch()};
    const auto token = write->fencingToken == 0 ? fencingTokenOf(revision) : write->fencingToken;
    stored.lease = LeaseState{InstanceName{"proxy-" + std::to_string(index)}, token, write->renewals, revision, write->epoch};
    if (proxy.lease.written(write->id, revision, now_, now_) == LeaseWriteResult::Acquired) {
        proxy.recordsCurrent = false;
        proxy.change.reset();
        proxy.recovery.reset(epoch());
        proxy.grantEpoch.onAcquired(epoch());
        proxy.held = true;
    }
}

void TableModel::noticeLostLease(Proxy &proxy)
{
    if (proxy.held && !holds(proxy)) {
        proxy.held = false;
        proxy.recordsCurrent = false;
        proxy.change.reset();
        proxy.recovery.reset(proxy.epochs.newest());
    }
}

void TableModel::list(Proxy &proxy, std::size_t index)
{
    observeEpoch(proxy);
    const auto &stored = history_.back();
    proxy.registry.clear();
    for (const auto &[other, number] : stored.entries) {
        proxy.registry[other] = Revision{number, epoch()};
    }
    const bool registered = stored.entries.contains(index);
    proxy.ownRevision = registered ? proxy.registry.at(index) : Revision{};
    std::vector<GroupRecord> records;
    if (stored.record) {
        records.push_back(*stored.record);
        records.back().revision.epoch = epoch();
    }
    for (const auto &record : records) {
        (void)proxy.table.accept(record);
    }
    proxy.recovery.onListing(records, proxy.table);
    if (registered) {
        proxy.tableEpoch = std::max(proxy.tableEpoch, epoch());
        proxy.table.renew(records, now_);
    }
    if (holds(proxy)) {
        proxy.recordsCurrent = true;
    }
}

void TableModel::registerSelf(Proxy &proxy, std::size_t index)
{
    if (proxy.ownRevision.value != 0 && proxy.ownRevision.epoch == proxy.epochs.newest()) {
        return;
    }
    auto &stored = beginWrite();
    stored.entries[index] = stored.revision;
    observeEpoch(proxy);
    proxy.ownRevision = Revision{stored.revision, epoch()};
}

void TableModel::renewFromHolder(Proxy &proxy, std::size_t index)
{
    const auto &granting = *holder();
    const auto grantEpoch = granting.grantEpoch.at(now_);
    if (!granting.lease.holds(now_ + primaryTableLease) || !granting.recordsCurrent || !registeredIn(granting, index, grantEpoch)) {
        return;
    }
    proxy.tableEpoch = std::max(proxy.tableEpoch, grantEpoch);
    proxy.table.renew(granting.recovery.trustedRecords(granting.table), now_);
}

void TableModel::renewFromPeer(Proxy &proxy, std::size_t index)
{
    const auto &granting = proxies_[(index + 1) % proxies_.size()];
    const auto age = now_ - granting.table.asOf();
    if (holds(granting) || age >= primaryTableLease * 3 / 4 || !registeredIn(granting, index, granting.tableEpoch)) {
        return;
    }
    proxy.tableEpoch = std::max(proxy.tableEpoch, granting.tableEpoch);
    proxy.table.renew(granting.table.current(), now_ - age);
}

void TableModel::holderDuties(Proxy &proxy)
{
    proxy.table.renew(proxy.recovery.trustedRecords(proxy.table), std::min(now_, proxy.lease.validUntil() - primaryTableLease));
    proxy.tableEpoch = std::max(proxy.tableEpoch, proxy.grantEpoch.at(now_));
    for (const auto &record : proxy.recovery.next(proxy.table, now_)) {
        if (const auto revision = writeRecord(proxy, record)) {
            proxy.recovery.written(record.group);
            accept(proxy, record, *revision);
        } else {
            proxy.recovery.failed(record.group, now_);
        }
    }
    if (proxy.table.find(group()) == nullptr && !history_.back().record) {
        bootstrap(proxy);
    }
}

void TableModel::bootstrap(Proxy &proxy)
{
    GroupRecord record{group(), leader_, 1, false, {}, proxy.epochs.newest()};
    record.generation = firstGenerationOf(record.writtenIn);
    if (!proxy.newFleet || proxy.epochs.risen()) {
        record.changeInProgress = true;
        proxy.recovery.setUnverified(group());
    }
    if (const auto revision = writeRecord(proxy, record)) {
        accept(proxy, record, *revision);
    }
}

bool TableModel::mayStartChange(const Proxy &proxy) const
{
    const auto *record = proxy.table.find(group());
    return holds(proxy) && proxy.recordsCurrent && !proxy.change && now_ - proxy.lease.acquiredAt() >= primaryTableLease
        && proxy.grantEpoch.earlierTablesExpired(now_) && record != nullptr && proxy.recovery.current(*record);
}

void TableModel::startChange(Proxy &proxy, std::size_t index)
{
    auto record = *proxy.table.find(group());
    if (!record.changeInProgress) {
        record.changeInProgress = true;
        record.writtenIn = proxy.epochs.newest();
        const auto revision = writeRecord(proxy, record);
        if (!revision) {
            return;
        }
        record.revision = *revision;
        (void)proxy.table.accept(record);
    }
    const auto before = proxy.epochs.newest();
    const auto &entries = history_.back().entries;
    observeEpoch(proxy);
    if (proxy.epochs.newest() != before) {
        return;
    }
    Change change{record, now_, {index}, false, {}};
    for (const auto &[other, number] : entries) {
        change.toQuiesce.insert(other);
    }
    proxy.change = change;
    quiesce(proxy, index);
}

void TableModel::quiesce(Proxy &proxy, std::size_t index)
{
    auto &changing = *changingHolder();
    (void)proxy.table.accept(changing.change->record);
    changing.change->toQuiesce.erase(index);
}

bool TableModel::mayPromote(const Proxy &proxy) const
{
    if (!proxy.change || proxy.change->promoted || !proxy.lease.holds(now_ + promoteTimeout)) {
        return false;
    }
    return proxy.change->toQuiesce.empty() || now_ >= proxy.change->recordedAt + primaryTableLease + tableMargin;
}

void TableModel::promote(Proxy &proxy)
{
    if (!proxy.recovery.unverified(group())) {
        leader_ = MemberName{"member-" + std::to_string(++promotions_)};
    }
    proxy.change->member = leader_;
    proxy.change->promoted = true;
}

void TableModel::publish(Proxy &proxy)
{
    auto record = proxy.change->record;
    record.changeInProgress = false;
    record.primary = proxy.change->member;
    ++record.generation;
    record.writtenIn = proxy.epochs.newest();
    const auto revision = writeRecord(proxy, record);
    proxy.change.reset();
    if (revision) {
        proxy.recovery.onChangeEnded(group());
        record.revision = *revision;
        proxy.table.renew({record}, std::min(now_, proxy.lease.validUntil() - primaryTableLease));
    }
}

void TableModel::check()
{
    if (std::count_if(proxies_.begin(), proxies_.end(), [this](const Proxy &proxy) { return holds(proxy); }) > 1) {
        violation_ = "two proxies rely on the lease";
    }
    for (const auto &proxy : proxies_) {
        const auto cached = proxy.table.primaryOf(group());
        if (cached.usable(now_) && cached.member != leader_) {
            violation_ = "a proxy relies on " + cached.member.text() + " although " + leader_.text() + " was promoted";
        }
    }
}

} // namespace cardamomstep::leadership::test
