// What this process knows of the configuration and of the other proxies.
#include "app/fleet.h"

#include "logging/log.h"
#include "records/record.h"

#include <utility>

namespace cardamomstep {

namespace {

/// The change of a record that \a object is; null record for a deletion. Nothing for objects that are no records.
std::optional<RecordChange> recordChange(const StoredObject &object)
{
    const auto kind = recordKindFromText(object.kind.text());
    if (!kind) {
        return std::nullopt;
    }
    RecordChange change;
    change.key = {*kind, RecordName{object.name.text()}};
    change.version = object.version.value;
    if (object.deleted) {
        return change;
    }
    auto record = readRecord(object.kind.text() + "/" + object.name.text(), object.value);
    if (!record) {
        logEvent(LogLevel::Error,
                 "record-unreadable",
                 {{"kind", object.kind.text()}, {"name", object.name.text()}, {"fault", record.faults().front().description}});
        return std::nullopt;
    }
    change.record = std::make_shared<const Record>(std::move(*record));
    return change;
}

} // namespace

Fleet::Fleet(Changed changed)
    : changed_(std::move(changed))
{
}

void Fleet::onListing(const StoreListing &listing)
{
    {
        const std::lock_guard lock(mutex_);
        take(state_.applyListing(listing));
    }
    changed_();
}

void Fleet::onChanges(const StoreChanges &changes)
{
    bool news = false;
    {
        const std::lock_guard lock(mutex_);
        const auto taken = state_.applyChanges(changes);
        news = !taken.empty();
        take(taken);
    }
    if (news) {
        changed_();
    }
}

std::vector<StoredObject> Fleet::onDelta(const ConfigurationDelta &delta)
{
    std::vector<StoredObject> taken;
    {
        const std::lock_guard lock(mutex_);
        taken = state_.applyDelta(delta);
        take(taken);
    }
    if (!taken.empty()) {
        changed_();
    }
    return taken;
}

void Fleet::take(const std::vector<StoredObject> &changes)
{
    std::vector<RecordChange> records;
    for (const auto &object : changes) {
        if (auto change = recordChange(object)) {
            records.push_back(std::move(*change));
        }
    }
    catalog_ = catalog_->with(records, state_.digest().complete.value);
}

void Fleet::setInstances(std::vector<LiveInstance> instances)
{
    auto set = std::make_shared<const InstanceSet>(std::move(instances));
    {
        const std::lock_guard lock(mutex_);
        if (set->instances() == instances_->instances()) {
            return;
        }
        instances_ = std::move(set);
    }
    changed_();
}

entry::FleetView Fleet::view() const
{
    const std::lock_guard lock(mutex_);
    return {catalog_, instances_, state_.digest().complete.value > 0};
}

ConfigurationDigest Fleet::digest() const
{
    const std::lock_guard lock(mutex_);
    return state_.digest();
}

ConfigurationDelta Fleet::deltaFor(const ConfigurationDigest &peer) const
{
    const std::lock_guard lock(mutex_);
    return state_.deltaFor(peer);
}

std::vector<StoredObject> Fleet::ofKind(const ObjectKind &kind) const
{
    const std::lock_guard lock(mutex_);
    std::vector<StoredObject> result;
    for (const auto *object : state_.ofKind(kind)) {
        result.push_back(*object);
    }
    return result;
}

} // namespace cardamomstep
