// Writes the answers of the operators' interface as JSON.
#include "operators/answers.h"

#include "operators/route.h"
#include "json/untrusted.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace cardamomstep::operators {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t millisecondsInSecond = 1000;

http::Response toResponse(int status, const Json &body)
{
    http::Response response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return response;
}

Json parseJson(const std::string &text)
{
    return json::parseUntrusted(text);
}

Json toJson(const FieldChange &change)
{
    Json value{{"field", change.field}};
    if (change.before) {
        value["before"] = parseJson(*change.before);
    }
    if (change.after) {
        value["after"] = parseJson(*change.after);
    }
    return value;
}

Json toJson(const std::vector<FieldChange> &changes)
{
    auto values = Json::array();
    for (const auto &change : changes) {
        values.push_back(toJson(change));
    }
    return values;
}

Json toJson(const Error &fault)
{
    Json value{{"error", answerRule(fault.kind).name}, {"description", fault.description}};
    if (fault.position) {
        value["line"] = fault.position->line;
        value["key"] = fault.position->key;
    }
    return value;
}

Json toJson(const CatalogEntry &entry)
{
    return {{"version", entry.version}, {"record", parseJson(writeRecord(*entry.record))}};
}

std::string_view toText(InstanceState state)
{
    switch (state) {
    case InstanceState::Starting:
        return "starting";
    case InstanceState::Ready:
        return "ready";
    case InstanceState::Draining:
        break;
    }
    return "draining";
}

Json toJson(const ProxyInfo &proxy)
{
    auto forms = Json::array();
    for (const auto &form : proxy.forms) {
        forms.push_back(toText(form));
    }
    return {{"instance", proxy.instance.text()},
            {"failureDomain", proxy.failureDomain.text()},
            {"state", toText(proxy.state)},
            {"revision", proxy.revision},
            {"silenceMs", proxy.timeSinceContact.count()},
            {"forms", std::move(forms)}};
}

Json toJson(const AuditEntry &entry)
{
    return {{"who", entry.who},
            {"atMs", entry.at.time_since_epoch().count()},
            {"kind", toText(entry.key.kind)},
            {"name", entry.key.name.text()},
            {"fromVersion", entry.fromVersion},
            {"toVersion", entry.toVersion},
            {"deleted", entry.deleted},
            {"changes", toJson(entry.changes)},
            {"truncated", entry.truncated}};
}

struct WatchedChange {
    RecordKey key;
    std::uint64_t version = 0;
    /// Null for a deletion.
    const CatalogEntry *entry = nullptr;
};

Json toJson(const WatchedChange &change)
{
    Json value{{"kind", toText(change.key.kind)}, {"name", change.key.name.text()}, {"version", change.version}};
    if (change.entry == nullptr) {
        value["deleted"] = true;
    } else {
        value["record"] = parseJson(writeRecord(*change.entry->record));
    }
    return value;
}

/// Returns the changes after \a after and up to the catalog's revision, in order of their versions, without audit entries.
std::vector<WatchedChange> changesAfter(const Catalog &catalog, std::uint64_t after)
{
    std::vector<WatchedChange> changes;
    const auto isIncluded = [&catalog, after](const RecordKey &key, std::uint64_t version) {
        return version > after && version <= catalog.revision() && key.kind != RecordKind::AuditEntry;
    };
    for (const auto &[key, entry] : catalog.entries()) {
        if (isIncluded(key, entry.version)) {
            changes.push_back({key, entry.version, &entry});
        }
    }
    for (const auto &[key, version] : catalog.deletions()) {
        if (isIncluded(key, version)) {
            changes.push_back({key, version, nullptr});
        }
    }
    std::sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) { return left.version < right.version; });
    return changes;
}

} // namespace

http::Response failureAnswer(const std::vector<Error> &faults)
{
    const auto &first = faults.front();
    Json body{{"error", answerRule(first.kind).name}, {"ran", toText(first.ran)}, {"description", first.description}};
    auto list = Json::array();
    for (const auto &fault : faults) {
        list.push_back(toJson(fault));
    }
    body["faults"] = std::move(list);
    if (first.currentVersion) {
        body["currentVersion"] = *first.currentVersion;
    }
    if (first.retryAfter) {
        body["retryAfterMs"] = first.retryAfter->count();
    }
    auto response = toResponse(answerRule(first.kind).status, body);
    if (first.retryAfter) {
        const auto seconds = (first.retryAfter->count() + millisecondsInSecond - 1) / millisecondsInSecond;
        response.headers["retry-after"] = std::to_string(seconds);
    }
    return response;
}

http::Response changeAnswer(const ChangeAnswer &answer)
{
    Json body{{"ran", toText(answer.written ? Ran::Yes : Ran::No)},
              {"fromVersion", answer.fromVersion},
              {"version", answer.toVersion},
              {"changes", toJson(answer.changes)},
              {"unknownFields", answer.unknownFields}};
    if (answer.written) {
        body["audit"] = answer.audited ? "written" : "missing";
    }
    return toResponse(200, body);
}

http::Response recordAnswer(const StoredText &record)
{
    auto value = parseJson(record.text);
    if (value.is_object()) {
        value.erase("writer");
    }
    return toResponse(200, {{"version", record.version}, {"source", "store"}, {"record", std::move(value)}});
}

http::Response cachedRecordAnswer(const CatalogEntry &entry)
{
    auto body = toJson(entry);
    body["source"] = "cache";
    return toResponse(200, body);
}

http::Response listAnswer(const Catalog &catalog, RecordKind kind, const http::Request &request)
{
    const auto limit = numberParameter(request, "limit", maxPageRecords, {1, maxPageRecords});
    if (!limit) {
        return failureAnswer({limit.error()});
    }
    auto records = Json::array();
    Json body{{"revision", catalog.revision()}};
    const auto &entries = catalog.entries();
    auto entry = entries.upper_bound(RecordKey{kind, RecordName{request.parameter("after")}});
    for (; entry != entries.end() && entry->first.kind == kind; ++entry) {
        if (!records.empty() && records.size() >= *limit) {
            body["next"] = std::prev(entry)->first.name.text();
            break;
        }
        records.push_back(toJson(entry->second));
    }
    body["records"] = std::move(records);
    return toResponse(200, body);
}

http::Response
statusAnswer(const InstanceName &self, const Catalog &catalog, const std::vector<ProxyInfo> &proxies, const http::Request &request)
{
    const auto behind = numberParameter(request, "behind", UINT64_MAX, {0, UINT64_MAX});
    if (!behind) {
        return failureAnswer({behind.error()});
    }
    Json body{{"instance", self.text()}, {"revision", catalog.revision()}, {"proxyCount", proxies.size()}};
    auto list = Json::array();
    for (const auto &proxy : proxies) {
        if (proxy.revision < *behind) {
            list.push_back(toJson(proxy));
        }
    }
    body["proxies"] = std::move(list);
    std::map<std::string, std::uint64_t> counts;
    for (const auto &[key, entry] : catalog.entries()) {
        ++counts[std::string(toText(key.kind))];
    }
    body["records"] = counts;
    return toResponse(200, body);
}

http::Response watchAnswer(const Catalog &catalog, std::uint64_t after)
{
    const bool reset = after == 0 || after < catalog.deletionFloor();
    auto changes = reset ? std::vector<WatchedChange>{} : changesAfter(catalog, after);
    auto revision = catalog.revision();
    if (changes.size() > maxPageRecords) {
        changes.resize(maxPageRecords);
        revision = changes.back().version;
    }
    auto list = Json::array();
    for (const auto &change : changes) {
        list.push_back(toJson(change));
    }
    return toResponse(200, {{"revision", revision}, {"reset", reset}, {"changes", std::move(list)}});
}

http::Response historyAnswer(const std::vector<AuditEntry> &entries)
{
    auto list = Json::array();
    for (const auto &entry : entries) {
        list.push_back(toJson(entry));
    }
    return toResponse(200, {{"entries", std::move(list)}});
}

} // namespace cardamomstep::operators
