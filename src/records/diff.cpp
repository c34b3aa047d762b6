// Flattens two records to maps of fields and compares these.
#include "records/diff.h"

#include "records/impl/envelope.h"
#include "records/keydigest.h"
#include "records/record.h"
#include "json/located.h"

#include <map>
#include <set>

namespace cardamomstep {

namespace {

using Fields = std::map<std::string, std::string>;

void flatten(const nlohmann::json &value, const std::string &path, Fields &fields)
{
    if (value.is_object() && !value.empty()) {
        for (const auto &item : value.items()) {
            flatten(item.value(), json::childPath(path, item.key()), fields);
        }
        return;
    }
    const auto identity = impl::identityOf(value);
    if (identity.empty()) {
        fields[path] = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return;
    }
    for (const auto &element : value) {
        auto remaining = element;
        remaining.erase(identity);
        flatten(remaining, path + "[" + element[identity].get<std::string>() + "]", fields);
    }
}

/// Differences are shown and kept in the audit trail, which shows no more of a key than its short digest.
void shortenDigests(nlohmann::json &digests)
{
    for (auto &digest : digests) {
        digest = shortDigest(digest.get<std::string>());
    }
}

Fields fieldsOf(const Record *record, SchemaVersion schema)
{
    Fields fields;
    if (record == nullptr) {
        return fields;
    }
    auto value = impl::toJson(*record, schema);
    value["schema"] = toText(record->schema);
    value.erase("change");
    if (record->kind() == RecordKind::Customer) {
        shortenDigests(value["spec"]["keys"]);
    }
    flatten(value, "", fields);
    return fields;
}

std::optional<std::string> valueOf(const Fields &fields, const std::string &path)
{
    const auto found = fields.find(path);
    return found == fields.end() ? std::nullopt : std::optional<std::string>(found->second);
}

bool truncateValue(std::optional<std::string> &value, std::size_t maxBytes)
{
    if (!value || value->size() <= maxBytes) {
        return false;
    }
    value = "\"(" + std::to_string(value->size()) + " bytes)\"";
    return true;
}

} // namespace

std::vector<FieldChange> diffRecords(const Record *before, const Record *after)
{
    const auto *schemaSource = after != nullptr ? after : before;
    if (schemaSource == nullptr) {
        return {};
    }
    const auto oldFields = fieldsOf(before, schemaSource->schema);
    const auto newFields = fieldsOf(after, schemaSource->schema);
    std::set<std::string> paths;
    for (const auto *fields : {&oldFields, &newFields}) {
        for (const auto &[path, value] : *fields) {
            paths.insert(path);
        }
    }
    std::vector<FieldChange> changes;
    for (const auto &path : paths) {
        FieldChange change{path, valueOf(oldFields, path), valueOf(newFields, path)};
        if (change.before != change.after) {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

bool boundChanges(std::vector<FieldChange> &changes, std::size_t maxChanges, std::size_t maxValueBytes)
{
    bool truncated = changes.size() > maxChanges;
    if (truncated) {
        changes.resize(maxChanges);
    }
    for (auto &change : changes) {
        const bool truncatedBefore = truncateValue(change.before, maxValueBytes);
        const bool truncatedAfter = truncateValue(change.after, maxValueBytes);
        truncated = truncated || truncatedBefore || truncatedAfter;
    }
    return truncated;
}

} // namespace cardamomstep
