// Checks proposed changes and limits the size of the audit trail.
#include "operators/change.h"

#include "base/hash.h"
#include "records/checks.h"
#include "records/forms.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::operators {

namespace {

constexpr std::uint64_t entriesBetweenDrops = 64;
constexpr std::uint64_t defaultHistoryLimit = 50;
constexpr std::uint64_t maxHistoryLimit = 1000;
/// The number of decimal digits of the largest version.
constexpr std::size_t versionDigits = 20;

std::vector<ReadableForms> readableForms(const std::vector<ProxyInfo> &proxies)
{
    std::vector<ReadableForms> forms;
    forms.reserve(proxies.size());
    for (const auto &proxy : proxies) {
        forms.push_back({proxy.instance, proxy.forms});
    }
    return forms;
}

/// Returns \a version with leading zeros, so that names sort by version.
std::string paddedVersion(std::uint64_t version)
{
    const auto digits = std::to_string(version);
    return std::string(versionDigits - digits.size(), '0') + digits;
}

/// Returns a name that is unique to one change; for a deletion, \a version is the deleted one, since a deletion may have no version itself.
///
/// The name contains a hash of the record's key: the system also audits promotions, whose versions are terms that repeat between groups.
RecordName auditName(const RecordKey &key, std::uint64_t version, bool deleted)
{
    const auto record = std::to_string(stableHash(toText(key)));
    return RecordName{paddedVersion(version) + "-" + record + (deleted ? "-deleted" : "")};
}

bool matches(const AuditEntry &entry, const HistoryFilter &filter)
{
    const bool kindMatches = !filter.kind || entry.key.kind == *filter.kind;
    const bool nameMatches = filter.name.empty() || entry.key.name.text() == filter.name;
    const bool whoMatches = filter.who.empty() || entry.who == filter.who;
    return kindMatches && nameMatches && whoMatches && entry.at >= filter.since;
}

} // namespace

Checked<Record> readCandidate(const Route &route, std::string_view body)
{
    if (!isWrittenByOperators(route.key.kind)) {
        return std::vector<Error>{{ErrorKind::MalformedRequest, "records of this kind are written by the system"}};
    }
    auto record = readRecord(toText(route.key), body);
    if (record && record->key() != route.key) {
        return std::vector<Error>{
            {ErrorKind::MalformedRequest, "the record is " + toText(record->key()) + ", but the path names another one"}};
    }
    return record;
}

Checked<ProposedChange> proposeChange(const Record &candidate,
                                      const StoredText *current,
                                      const Catalog &catalog,
                                      const std::vector<ProxyInfo> &proxies,
                                      const ChangeStamp &change)
{
    std::optional<Record> before;
    if (current != nullptr) {
        auto read = readRecord(toText(current->key), current->text);
        if (!read) {
            return read.faults();
        }
        before = std::move(*read);
    }
    auto faults = checkCandidate(catalog, candidate);
    if (auto unreadable = checkReadable(candidate.form(), readableForms(proxies))) {
        faults.push_back(std::move(*unreadable));
    }
    if (!faults.empty()) {
        return faults;
    }
    ProposedChange proposed{candidate, diffRecords(before ? &*before : nullptr, &candidate)};
    proposed.record.change = change;
    return proposed;
}

std::optional<Error> checkExpected(const Route &route, std::uint64_t current)
{
    if (!route.expected || *route.expected == current) {
        return std::nullopt;
    }
    Error error{ErrorKind::Conflict,
                toText(route.key) + " has version " + std::to_string(current) + ", expected " + std::to_string(*route.expected)};
    error.currentVersion = current;
    return error;
}

Record auditRecord(const RecordKey &key,
                   const ChangeStamp &change,
                   std::uint64_t fromVersion,
                   std::uint64_t toVersion,
                   std::vector<FieldChange> changes,
                   bool deleted)
{
    AuditEntry entry;
    entry.who = change.who;
    entry.at = change.at;
    entry.key = key;
    entry.fromVersion = fromVersion;
    entry.toVersion = toVersion;
    entry.deleted = deleted;
    entry.truncated = boundChanges(changes, maxAuditChanges, maxAuditValueBytes);
    entry.changes = std::move(changes);
    Record record;
    record.name = auditName(key, deleted ? fromVersion : toVersion, deleted);
    record.spec = std::move(entry);
    return record;
}

bool isTimeToDropEntries(const RecordName &entry) noexcept
{
    return stableHash(entry.text()) % entriesBetweenDrops == 0;
}

std::vector<StoredText> entriesToDrop(std::vector<StoredText> entries)
{
    if (entries.size() <= maxAuditEntries) {
        return {};
    }
    std::sort(entries.begin(), entries.end(), [](const StoredText &left, const StoredText &right) { return left.version < right.version; });
    entries.resize(std::min(entries.size() - maxAuditEntries, maxAuditEntriesDroppedAtOnce));
    return entries;
}

Result<HistoryFilter> readHistoryFilter(const http::Request &request)
{
    HistoryFilter filter;
    const auto kind = request.parameter("kind");
    filter.kind = recordKindFromText(kind);
    if (!kind.empty() && !filter.kind) {
        return Error{ErrorKind::MalformedRequest, "kind: there is no such kind"};
    }
    filter.name = request.parameter("name");
    filter.who = request.parameter("who");
    const auto since = numberParameter(request, "since", 0, {0, INT64_MAX});
    const auto limit = numberParameter(request, "limit", defaultHistoryLimit, {1, maxHistoryLimit});
    if (!since || !limit) {
        return !since ? since.error() : limit.error();
    }
    filter.since = WallTime{Milliseconds{static_cast<std::int64_t>(*since)}};
    filter.limit = *limit;
    return filter;
}

std::vector<AuditEntry> selectHistory(const std::vector<StoredText> &entries, const HistoryFilter &filter)
{
    std::vector<std::pair<std::uint64_t, AuditEntry>> selected;
    for (const auto &stored : entries) {
        auto record = readRecord(toText(stored.key), stored.text);
        if (!record) {
            continue;
        }
        auto *entry = std::get_if<AuditEntry>(&record->spec);
        if (entry != nullptr && matches(*entry, filter)) {
            selected.emplace_back(stored.version, std::move(*entry));
        }
    }
    std::sort(selected.begin(), selected.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<AuditEntry> newest;
    for (auto &[version, entry] : selected) {
        if (newest.size() < filter.limit) {
            newest.push_back(std::move(entry));
        }
    }
    return newest;
}

} // namespace cardamomstep::operators
