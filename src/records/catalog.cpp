// Keeps the newest version of each record and finds the group of a key.
#include "records/catalog.h"

#include "base/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cardamomstep {

namespace {

/// Returns the bucket of \a hash by jump consistent hashing: appending a bucket to n others moves only 1/(n + 1) of the keys.
std::size_t bucketOf(std::uint64_t hash, std::size_t buckets) noexcept
{
    constexpr std::uint64_t multiplier = 2862933555777941757ULL;
    constexpr double scale = 2147483648.0;
    constexpr unsigned highBits = 33;
    std::uint64_t bucket = 0;
    std::uint64_t next = 0;
    while (next < buckets) {
        bucket = next;
        hash = hash * multiplier + 1;
        next = static_cast<std::uint64_t>(static_cast<double>(bucket + 1) * (scale / static_cast<double>((hash >> highBits) + 1)));
    }
    return bucket;
}

std::size_t commonLength(std::string_view left, std::string_view right) noexcept
{
    const auto end = left.begin() + static_cast<std::ptrdiff_t>(std::min(left.size(), right.size()));
    return static_cast<std::size_t>(std::mismatch(left.begin(), end, right.begin()).first - left.begin());
}

/// Returns the rule with the longest prefix of \a key; null when none matches. \a rules must be sorted by prefix.
const PrefixRule *longestMatch(const std::vector<PrefixRule> &rules, std::string_view key)
{
    auto searched = key;
    for (;;) {
        const auto above = std::upper_bound(
            rules.begin(), rules.end(), searched, [](std::string_view text, const PrefixRule &rule) { return text < rule.prefix; });
        if (above == rules.begin()) {
            return nullptr;
        }
        const auto &candidate = *std::prev(above);
        const auto common = commonLength(candidate.prefix, searched);
        if (common == candidate.prefix.size()) {
            return &candidate;
        }
        // Every remaining match is a prefix of both the key and the candidate.
        searched = searched.substr(0, common);
    }
}

bool prefixLess(const PrefixRule &left, const PrefixRule &right)
{
    return left.prefix < right.prefix;
}

} // namespace

std::vector<FailureDomain> domainsOf(const DatabaseGroup &group)
{
    std::vector<FailureDomain> domains;
    for (const auto &member : group.members) {
        domains.push_back(member.failureDomain);
    }
    std::sort(domains.begin(), domains.end());
    domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    return domains;
}

std::shared_ptr<const Catalog> Catalog::empty()
{
    return std::make_shared<const Catalog>();
}

std::shared_ptr<const Catalog> Catalog::fromList(const std::vector<RecordChange> &records, std::uint64_t revision)
{
    return Catalog().withList(records, revision);
}

std::shared_ptr<const Catalog> Catalog::with(const std::vector<RecordChange> &changes, std::uint64_t revision) const
{
    auto next = std::make_shared<Catalog>(*this);
    for (const auto &change : changes) {
        next->applyChange(change);
    }
    next->revision_ = std::max(revision_, revision);
    next->dropOldDeletions();
    return next;
}

std::shared_ptr<const Catalog> Catalog::withList(const std::vector<RecordChange> &records, std::uint64_t revision) const
{
    auto next = std::make_shared<Catalog>(*this);
    std::set<RecordKey> listed;
    for (const auto &change : records) {
        listed.insert(change.key);
        next->applyChange(change);
    }
    for (const auto &[key, entry] : entries_) {
        if (entry.version <= revision && listed.count(key) == 0) {
            next->remove(key);
        }
    }
    next->revision_ = std::max(revision_, revision);
    next->deletionFloor_ = std::max(deletionFloor_, revision);
    std::erase_if(next->deletions_, [floor = next->deletionFloor_](const auto &item) { return item.second <= floor; });
    return next;
}

bool Catalog::isNewer(const RecordKey &key, std::uint64_t version) const
{
    const auto entry = entries_.find(key);
    if (entry != entries_.end()) {
        return version > entry->second.version;
    }
    const auto deletion = deletions_.find(key);
    return version > (deletion == deletions_.end() ? revision_ : deletion->second);
}

Result<GroupName> Catalog::groupFor(const ServiceName &service, std::string_view key) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return Error{ErrorKind::UnknownService, "no routing intent names the service \"" + service.text() + "\""};
    }
    const auto *rule = longestMatch(*found->second.prefixes, key);
    if (rule != nullptr) {
        return rule->group;
    }
    const auto &groups = std::get<RoutingIntent>(found->second.record->spec).groups;
    if (groups.empty()) {
        return Error{ErrorKind::UnknownService, "the routing intent of \"" + service.text() + "\" names no group"};
    }
    return groups[bucketOf(stableHash(key), groups.size())];
}

const RoutingIntent *Catalog::intent(const ServiceName &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : std::get_if<RoutingIntent>(&found->second.record->spec);
}

const DatabaseGroup *Catalog::group(const GroupName &name) const
{
    const auto found = groups_.find(name);
    return found == groups_.end() ? nullptr : found->second;
}

std::optional<CustomerName> Catalog::customerOf(const std::string &keyDigest) const
{
    const auto found = keyHolders_.find(keyDigest);
    // A key of two customers belongs to neither: which of them its caller means is not known.
    if (found == keyHolders_.end() || found->second.size() != 1) {
        return std::nullopt;
    }
    return CustomerName{found->second.begin()->text()};
}

std::vector<GroupName> Catalog::groupNames() const
{
    std::vector<GroupName> names;
    names.reserve(groups_.size());
    for (const auto &[name, group] : groups_) {
        names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

const CatalogEntry *Catalog::find(const RecordKey &key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

void Catalog::applyChange(const RecordChange &change)
{
    if (!isNewer(change.key, change.version)) {
        return;
    }
    remove(change.key);
    if (change.record == nullptr) {
        deletions_[change.key] = change.version;
        return;
    }
    deletions_.erase(change.key);
    entries_[change.key] = {change.version, change.record};
    indexRecord(change.record);
}

void Catalog::dropOldDeletions()
{
    if (deletions_.size() <= 2 * retainedDeletions) {
        return;
    }
    std::vector<std::uint64_t> versions;
    for (const auto &[key, version] : deletions_) {
        versions.push_back(version);
    }
    const auto last = versions.end() - static_cast<std::ptrdiff_t>(retainedDeletions) - 1;
    std::nth_element(versions.begin(), last, versions.end());
    // A deletion above revision_ is still needed to refuse an outdated change of its key.
    deletionFloor_ = std::max(deletionFloor_, std::min(*last, revision_));
    std::erase_if(deletions_, [this](const auto &item) { return item.second <= deletionFloor_; });
}

void Catalog::remove(const RecordKey &key)
{
    const auto entry = entries_.find(key);
    if (entry == entries_.end()) {
        return;
    }
    const auto record = entry->second.record;
    entries_.erase(entry);
    unindexRecord(*record);
}

void Catalog::indexRecord(const std::shared_ptr<const Record> &record)
{
    if (const auto *group = std::get_if<DatabaseGroup>(&record->spec)) {
        groups_[GroupName{record->name.text()}] = group;
    } else if (record->kind() == RecordKind::RoutingIntent) {
        indexIntent(record);
    } else if (const auto *customer = std::get_if<CustomerSpec>(&record->spec)) {
        ++customers_;
        for (const auto &key : customer->keys) {
            keyHolders_[key].insert(record->name);
        }
    }
}

void Catalog::indexIntent(const std::shared_ptr<const Record> &record)
{
    const auto &intent = std::get<RoutingIntent>(record->spec);
    auto &index = services_[intent.service];
    if (index.record != nullptr && index.record->name < record->name) {
        return;
    }
    auto sorted = std::make_shared<std::vector<PrefixRule>>(intent.prefixes);
    std::sort(sorted->begin(), sorted->end(), prefixLess);
    index = {record, std::move(sorted)};
}

void Catalog::unindexRecord(const Record &record)
{
    if (record.kind() == RecordKind::DatabaseGroup) {
        groups_.erase(GroupName{record.name.text()});
    } else if (record.kind() == RecordKind::RoutingIntent) {
        unindexIntent(record);
    } else if (const auto *customer = std::get_if<CustomerSpec>(&record.spec)) {
        --customers_;
        for (const auto &key : customer->keys) {
            auto &holders = keyHolders_[key];
            holders.erase(record.name);
            if (holders.empty()) {
                keyHolders_.erase(key);
            }
        }
    }
}

void Catalog::unindexIntent(const Record &record)
{
    const auto &service = std::get<RoutingIntent>(record.spec).service;
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.record->name != record.name) {
        return;
    }
    services_.erase(found);
    for (auto entry = entries_.lower_bound(RecordKey{RecordKind::RoutingIntent, {}});
         entry != entries_.end() && entry->first.kind == RecordKind::RoutingIntent;
         ++entry) {
        if (std::get<RoutingIntent>(entry->second.record->spec).service == service) {
            indexIntent(entry->second.record);
        }
    }
}

} // namespace cardamomstep
