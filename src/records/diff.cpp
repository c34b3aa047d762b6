// Flattens two records to fields and compares them.
#include "records/diff.h"

#include "records/impl/envelope.h"
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
        auto rest = element;
        rest.erase(identity);
        flatten(rest, path + "[" + element[identity].get<std::string>() + "]", fields);
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
    flatten(value, "", fields);
    return fields;
}

std::optional<std::string> valueOf(const Fields &fields, const std::string &path)
{
    const auto found = fields.find(path);
    return found == fields.end() ? std::nullopt : std::optional<std::string>(found->second);
}

bool cutValue(std::optional<std::string> &value, std::size_t maxBytes)
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
    const auto *shape = after != nullptr ? after : before;
    if (shape == nullptr) {
        return {};
    }
    const auto old = fieldsOf(before, shape->schema);
    const auto fresh = fieldsOf(after, shape->schema);
    std::set<std::string> paths;
    for (const auto *fields : {&old, &fresh}) {
        for (const auto &[path, value] : *fields) {
            paths.insert(path);
        }
    }
    std::vector<FieldChange> changes;
    for (const auto &path : paths) {
        FieldChange change{path, valueOf(old, path), valueOf(fresh, path)};
        if (change.before != change.after) {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

bool boundChanges(std::vector<FieldChange> &changes, std::size_t maxChanges, std::size_t maxValueBytes)
{
    bool cut = changes.size() > maxChanges;
    if (cut) {
        changes.resize(maxChanges);
    }
    for (auto &change : changes) {
        const bool cutBefore = cutValue(change.before, maxValueBytes);
        const bool cutAfter = cutValue(change.after, maxValueBytes);
        cut = cut || cutBefore || cutAfter;
    }
    return cut;
}

} // namespace cardamomstep
