// Maintains a GroupOwner for each database group that is assigned to this proxy.
#include "app/ownership.h"

#include "base/hash.h"
#include "groups/pacing.h"
#include "logging/log.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

constexpr std::uint32_t assumedMembersPerGroup = 3;
constexpr double percent = 100.0;
/// Minimum time that a retired owner continues to serve proxies that have not yet learned of the change.
constexpr Seconds minRetirement{5};

std::vector<InstanceName> namesOf(const std::vector<LiveInstance> &instances)
{
    std::vector<InstanceName> names;
    names.reserve(instances.size());
    for (const auto &instance : instances) {
        names.push_back(instance.name);
    }
    return names;
}

/// Returns the guaranteed shares of the services whose routing intents name \a group.
std::vector<ServiceShare> sharesFor(const Catalog &catalog, const GroupName &group)
{
    std::vector<ServiceShare> shares;
    for (const auto &[key, entry] : catalog.entries()) {
        const auto *intent = std::get_if<RoutingIntent>(&entry.record->spec);
        if (intent == nullptr || intent->guaranteedPercent == 0) {
            continue;
        }
        const bool appliesToGroup = std::find(intent->groups.begin(), intent->groups.end(), group) != intent->groups.end();
        if (appliesToGroup) {
            shares.push_back({intent->service, intent->guaranteedPercent / percent});
        }
    }
    return shares;
}

} // namespace

Ownership::Ownership(
    const Settings &settings, LiveInstance self, GroupOwnerHandlers handlers, Transactions &transactions, std::uint64_t seed)
    : settings_(settings)
    , self_(std::move(self))
    , handlers_(std::move(handlers))
    , transactions_(transactions)
    , seed_(seed)
{
}

void Ownership::reconcile(const entry::FleetSnapshot &fleet)
{
    const std::unique_lock lock(mutex_);
    std::map<GroupName, Owned> next;
    for (const auto &name : fleet.catalog->groupNames()) {
        const auto *record = fleet.catalog->group(name);
        const auto domains = domainsOf(*record);
        const auto rank = fleet.instances->rank(name, domains, self_.name);
        if (!rank) {
            continue;
        }
        std::vector<LiveInstance> owners;
        for (const auto *owner : fleet.instances->owners(name, domains)) {
            owners.push_back(*owner);
        }
        const auto existing = owned_.find(name);
        if (existing != owned_.end() && existing->second.record == *record) {
            auto owned = std::move(existing->second);
            owned_.erase(existing);
            owned.owner->setOwners(namesOf(owners), static_cast<unsigned>(*rank));
            owned.owners = std::move(owners);
            next.emplace(name, std::move(owned));
            continue;
        }
        auto owner = makeOwner(fleet, name, *record, owners, static_cast<unsigned>(*rank));
        next.emplace(name, Owned{std::move(owner), std::move(owners), *record, {}});
        logEvent(LogLevel::Info, "group-owned", {{"group", name.text()}, {"rank", static_cast<std::int64_t>(*rank)}});
    }
    for (auto &[name, owned] : owned_) {
        logEvent(LogLevel::Info, "group-released", {{"group", name.text()}});
        retired_.insert_or_assign(name, Retired{std::move(owned.owner), steadyNow()});
    }
    owned_.swap(next);
    const auto policy = policyFor(owned_.size());
    for (auto &[name, owned] : owned_) {
        owned.owner->setPolicy(policy);
    }
    catalog_ = fleet.catalog;
    updateLeaving();
}

void Ownership::setListedLeaving(std::vector<MemberName> leaving)
{
    const std::lock_guard lock(mutex_);
    listedLeaving_ = std::move(leaving);
    updateLeaving();
}

void Ownership::refresh()
{
    // Declared before the lock, so that the owners in it are destroyed after the lock is released.
    std::vector<std::shared_ptr<GroupOwner>> removed;
    const std::lock_guard lock(mutex_);
    updateLeaving();
    const auto retiredBefore = steadyNow() - minRetirement;
    for (auto retired = retired_.begin(); retired != retired_.end();) {
        if (retired->second.retiredAt < retiredBefore && transactions_.countOf(retired->first) == 0) {
            removed.push_back(std::move(retired->second.owner));
            retired = retired_.erase(retired);
        } else {
            ++retired;
        }
    }
}

void Ownership::updateLeaving()
{
    const auto now = std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
    for (auto &[name, owned] : owned_) {
        owned.plans = endpointPlans(*catalog_, name, now);
        auto leaving = listedLeaving_;
        for (const auto &plan : owned.plans) {
            if (plan.due) {
                leaving.push_back(plan.member);
            }
        }
        owned.owner->setLeaving(leaving);
    }
}

std::vector<GroupName> Ownership::groupsOwnedAsFirst() const
{
    const std::lock_guard lock(mutex_);
    std::vector<GroupName> groups;
    for (const auto &[name, owned] : owned_) {
        if (!owned.owners.empty() && owned.owners.front().name == self_.name) {
            groups.push_back(name);
        }
    }
    return groups;
}

std::vector<EndpointPlan> Ownership::plansToMonitor() const
{
    const std::lock_guard lock(mutex_);
    std::vector<EndpointPlan> plans;
    for (const auto &[name, owned] : owned_) {
        const bool first = !owned.owners.empty() && owned.owners.front().name == self_.name;
        if (first) {
            plans.insert(plans.end(), owned.plans.begin(), owned.plans.end());
        }
    }
    return plans;
}

std::shared_ptr<GroupOwner> Ownership::makeOwner(const entry::FleetSnapshot &fleet,
                                                 const GroupName &name,
                                                 const DatabaseGroup &record,
                                                 const std::vector<LiveInstance> &owners,
                                                 unsigned rank)
{
    GroupOwnerOptions options;
    options.group = name;
    for (const auto &member : record.members) {
        options.members.push_back({member.name, member.address});
    }
    options.slots = record.slots;
    options.maxConnections = record.connections;
    options.shares = sharesFor(*fleet.catalog, name);
    options.identity = {self_.name, self_.domain};
    options.policy = policyFor(owned_.size() + 1);
    options.rank = rank;
    options.owners = namesOf(owners);
    options.seed = seed_ ^ stableHash(name.text());
    if (!settings_.trace.file.empty()) {
        options.traceFile = settings_.trace.file + "." + name.text() + ".jsonl";
    }
    return std::make_shared<GroupOwner>(std::move(options), handlers_, transactions_);
}

GroupPolicy Ownership::policyFor(std::size_t groups) const
{
    GroupPolicy policy;
    policy.silenceBound = settings_.failover.silence;
    const auto count = static_cast<std::uint32_t>(groups);
    PacingBudget budget;
    budget.minInterval = settings_.failover.heartbeat;
    const auto pacing = paceReports(count, count * assumedMembersPerGroup, budget);
    policy.heartbeatInterval = pacing.heartbeatInterval;
    policy.replicaHeartbeatFactor = pacing.replicaHeartbeatFactor;
    return policy;
}

std::shared_ptr<GroupOwner> Ownership::find(const GroupName &group) const
{
    const std::lock_guard lock(mutex_);
    const auto found = owned_.find(group);
    if (found != owned_.end()) {
        return found->second.owner;
    }
    const auto retired = retired_.find(group);
    return retired == retired_.end() ? nullptr : retired->second.owner;
}

std::vector<std::shared_ptr<GroupOwner>> Ownership::all() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<GroupOwner>> owners;
    for (const auto &[name, owned] : owned_) {
        owners.push_back(owned.owner);
    }
    return owners;
}

std::vector<LiveInstance> Ownership::otherOwners(const GroupName &group) const
{
    const std::lock_guard lock(mutex_);
    std::vector<LiveInstance> others;
    const auto found = owned_.find(group);
    if (found == owned_.end()) {
        return others;
    }
    std::copy_if(found->second.owners.begin(), found->second.owners.end(), std::back_inserter(others), [this](const auto &owner) {
        return owner.name != self_.name;
    });
    return others;
}

void Ownership::clear()
{
    // Declared before the lock, as in refresh().
    std::map<GroupName, Owned> removed;
    std::map<GroupName, Retired> retired;
    const std::lock_guard lock(mutex_);
    removed.swap(owned_);
    retired.swap(retired_);
}

} // namespace cardamomstep
