// Keeps rows and request ids in step with the entries.
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

Term MemberLog::termAt(std::uint64_t position) const
{
    return position == 0 ? Term{} : entries_[position - 1].term;
}

LogPosition MemberLog::positionAt(std::uint64_t position) const
{
    return {termAt(position), position};
}

std::uint64_t MemberLog::lastPositionUpTo(std::uint64_t limit, const Term &term) const
{
    auto position = std::min<std::uint64_t>(limit, entries_.size());
    while (position > 0 && termAt(position) > term) {
        --position;
    }
    return position;
}

std::uint64_t MemberLog::findRequest(const std::string &requestId) const
{
    const auto found = requests_.find(requestId);
    return found == requests_.end() ? 0 : found->second;
}

std::uint64_t MemberLog::lastChangeOf(const std::string &key) const
{
    const auto found = changes_.find(key);
    return found == changes_.end() ? 0 : found->second;
}

void MemberLog::append(Entry entry)
{
    entries_.push_back(std::move(entry));
    apply(entries_.back(), entries_.size());
}

void MemberLog::truncate(std::uint64_t position)
{
    entries_.resize(std::min<std::size_t>(position, entries_.size()));
    rows_.clear();
    requests_.clear();
    changes_.clear();
    for (std::uint64_t next = 1; next <= entries_.size(); ++next) {
        apply(at(next), next);
    }
}

void MemberLog::apply(const Entry &entry, std::uint64_t position)
{
    std::map<std::string, std::optional<Json>> changes;
    RowOverlay view(rows_, changes);
    for (const auto &operation : entry.operations) {
        (void)run(operation, view);
    }
    for (auto &[key, value] : changes) {
        changes_[key] = position;
        if (value) {
            rows_[key] = std::move(*value);
        } else {
            rows_.erase(key);
        }
    }
    if (!entry.requestId.empty()) {
        requests_[entry.requestId] = position;
    }
}

} // namespace cardamomstep::standins
