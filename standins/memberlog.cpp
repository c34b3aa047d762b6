// Updates the rows and the request id index with each log entry.
#include "memberlog.h"

namespace cardamomstep::standins {

using Json = nlohmann::json;

Json toJson(const Entry &entry)
{
    auto operations = Json::array();
    for (const auto &operation : entry.operations) {
        operations.push_back({{"operation", operation.name}, {"key", operation.key}, {"arguments", operation.arguments}});
    }
    return {{"term", toText(entry.term)},
            {"operations", operations},
            {"requestId", entry.requestId},
            {"fingerprint", std::to_string(entry.fingerprint)},
            {"rows", entry.rows},
            {"writtenAt", entry.writtenAt}};
}

Entry entryFromJson(const Json &json)
{
    Entry entry;
    const auto term = parseTerm(json.at("term").get<std::string>());
    entry.term = term ? *term : Term{};
    for (const auto &operation : json.at("operations")) {
        entry.operations.push_back(
            {operation.at("operation").get<std::string>(), operation.at("key").get<std::string>(), operation.at("arguments")});
    }
    entry.requestId = json.at("requestId").get<std::string>();
    entry.fingerprint = std::stoull(json.at("fingerprint").get<std::string>());
    entry.rows = json.at("rows");
    entry.writtenAt = json.at("writtenAt").get<std::int64_t>();
    return entry;
}

LogPosition MemberLog::last() const
{
    return positionAt(entries_.size());
}

Term MemberLog::termAt(std::uint64_t index) const
{
    return index == 0 ? Term{} : entries_[index - 1].term;
}

LogPosition MemberLog::positionAt(std::uint64_t index) const
{
    return {termAt(index), index};
}

std::uint64_t MemberLog::lastIndexUpTo(std::uint64_t limit, const Term &term) const
{
    auto index = std::min<std::uint64_t>(limit, entries_.size());
    while (index > 0 && termAt(index) > term) {
        --index;
    }
    return index;
}

std::uint64_t MemberLog::findRequest(const std::string &requestId) const
{
    const auto found = requestIndexes_.find(requestId);
    return found == requestIndexes_.end() ? 0 : found->second;
}

std::uint64_t MemberLog::lastChangeOf(const std::string &key) const
{
    const auto found = lastChanges_.find(key);
    return found == lastChanges_.end() ? 0 : found->second;
}

void MemberLog::append(Entry entry)
{
    entries_.push_back(std::move(entry));
    apply(entries_.back(), entries_.size());
}

void MemberLog::truncate(std::uint64_t index)
{
    entries_.resize(std::min<std::size_t>(index, entries_.size()));
    rows_.clear();
    requestIndexes_.clear();
    lastChanges_.clear();
    for (std::uint64_t next = 1; next <= entries_.size(); ++next) {
        apply(at(next), next);
    }
}

void MemberLog::apply(const Entry &entry, std::uint64_t index)
{
    std::map<std::string, std::optional<Json>> changes;
    RowOverlay overlay(rows_, changes);
    for (const auto &operation : entry.operations) {
        (void)run(operation, overlay);
    }
    for (auto &[key, value] : changes) {
        lastChanges_[key] = index;
        if (value) {
            rows_[key] = std::move(*value);
        } else {
            rows_.erase(key);
        }
    }
    if (!entry.requestId.empty()) {
        requestIndexes_[entry.requestId] = index;
    }
}

} // namespace cardamomstep::standins
