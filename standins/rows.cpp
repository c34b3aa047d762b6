// The operations of a stand-in member: get, list, put, add, append, delete and none.
#include "rows.h"

namespace cardamomstep::standins {

namespace {

using Json = nlohmann::json;

OperationResult failure(std::string text)
{
    return {std::move(text), Json::array()};
}

OperationResult get(const Operation &operation, const RowOverlay &overlay)
{
    OperationResult result;
    if (const auto value = overlay.find(operation.key)) {
        result.rows.push_back({{"key", operation.key}, {"value", *value}});
    }
    return result;
}

OperationResult list(const Operation &operation, const RowOverlay &overlay)
{
    OperationResult result;
    for (const auto &[key, value] : overlay.list(operation.key)) {
        result.rows.push_back({{"key", key}, {"value", value}});
    }
    return result;
}

OperationResult put(const Operation &operation, RowOverlay &overlay)
{
    if (!operation.arguments.contains("value")) {
        return failure("put requires a value");
    }
    overlay.set(operation.key, operation.arguments["value"]);
    return {std::nullopt, Json::array({{{"key", operation.key}}})};
}

OperationResult add(const Operation &operation, RowOverlay &overlay)
{
    const auto old = overlay.find(operation.key).value_or(Json(0));
    const auto by = operation.arguments.value("by", Json());
    if (!old.is_number_integer() || !by.is_number_integer()) {
        return failure("add requires integers");
    }
    const auto sum = old.get<std::int64_t>() + by.get<std::int64_t>();
    overlay.set(operation.key, Json(sum));
    return {std::nullopt, Json::array({{{"key", operation.key}, {"value", sum}}})};
}

OperationResult append(const Operation &operation, RowOverlay &overlay)
{
    auto items = overlay.find(operation.key).value_or(Json::array());
    if (!items.is_array() || !operation.arguments.contains("item")) {
        return failure("append requires an array and an item");
    }
    items.push_back(operation.arguments["item"]);
    const auto length = items.size();
    overlay.set(operation.key, std::move(items));
    return {std::nullopt, Json::array({{{"key", operation.key}, {"length", length}}})};
}

OperationResult erase(const Operation &operation, RowOverlay &overlay)
{
    OperationResult result;
    if (overlay.find(operation.key)) {
        result.rows.push_back({{"key", operation.key}});
    }
    overlay.set(operation.key, std::nullopt);
    return result;
}

bool hasPrefix(const std::string &key, const std::string &prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::optional<Json> RowOverlay::find(const std::string &key) const
{
    if (const auto changed = changes_.find(key); changed != changes_.end()) {
        return changed->second;
    }
    const auto found = base_.find(key);
    return found == base_.end() ? std::nullopt : std::optional<Json>(found->second);
}

Rows RowOverlay::list(const std::string &prefix) const
{
    Rows found;
    for (auto row = base_.lower_bound(prefix); row != base_.end() && hasPrefix(row->first, prefix); ++row) {
        found.insert(*row);
    }
    for (const auto &[key, value] : changes_) {
        if (!hasPrefix(key, prefix)) {
            continue;
        }
        found.erase(key);
        if (value) {
            found.emplace(key, *value);
        }
    }
    return found;
}

void RowOverlay::set(const std::string &key, std::optional<Json> value)
{
    changes_[key] = std::move(value);
}

OperationResult run(const Operation &operation, RowOverlay &overlay)
{
    if (operation.name == "get") {
        return get(operation, overlay);
    }
    if (operation.name == "list") {
        return list(operation, overlay);
    }
    if (operation.name == "put") {
        return put(operation, overlay);
    }
    if (operation.name == "add") {
        return add(operation, overlay);
    }
    if (operation.name == "append") {
        return append(operation, overlay);
    }
    if (operation.name == "delete") {
        return erase(operation, overlay);
    }
    if (operation.name == "none") {
        return {};
    }
    return failure("unknown operation " + operation.name);
}

bool isReading(const Operation &operation)
{
    return operation.name == "get" || operation.name == "list";
}

} // namespace cardamomstep::standins
