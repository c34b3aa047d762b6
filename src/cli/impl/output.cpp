// Writes tables, JSON and errors.
#include "cli/impl/output.h"

#include "cli/exitcode.h"
#include "json/nearest.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace cardamomstep::cli::impl {

namespace {

using Json = nlohmann::json;

constexpr int indentation = 2;
constexpr std::int64_t millisecondsInSecond = 1000;

void writeRow(std::ostream &out, const std::vector<std::string> &row, const std::vector<std::size_t> &widths)
{
    for (std::size_t column = 0; column < row.size(); ++column) {
        out << row[column];
        if (column + 1 < row.size()) {
            out << std::string(widths[column] - row[column].size() + 2, ' ');
        }
    }
    out << "\n";
}

std::string valueText(const Json &change, const char *key)
{
    const auto found = change.find(key);
    return found == change.end() ? "(none)" : found->dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

void writeTable(std::ostream &out, const std::vector<std::string> &header, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    widths.reserve(header.size());
    for (const auto &title : header) {
        widths.push_back(title.size());
    }
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    writeRow(out, header, widths);
    for (const auto &row : rows) {
        writeRow(out, row, widths);
    }
}

void writeJson(std::ostream &out, const Json &value)
{
    out << value.dump(indentation, ' ', false, Json::error_handler_t::replace) << "\n";
}

void writeChanges(std::ostream &out, const Json &changes)
{
    for (const auto &change : changes) {
        out << "  " << cell(change, "field") << ": " << valueText(change, "before") << " -> " << valueText(change, "after") << "\n";
    }
}

int reportFaults(std::ostream &err, const std::string &subject, const std::vector<Error> &faults)
{
    for (const auto &fault : faults) {
        err << "cardamomstep: " << subject << (subject.empty() ? "" : ": ");
        if (fault.position && fault.position->file.empty()) {
            err << fault.position->key << ": " << answerRule(fault.kind).name << ": " << fault.description;
        } else {
            err << fault;
        }
        if (fault.currentVersion) {
            err << " (current version " << *fault.currentVersion << ")";
        }
        if (fault.retryAfter) {
            err << " (retry after " << fault.retryAfter->count() << " ms)";
        }
        err << "\n";
    }
    return toInt(exitCodeFor(faults.front()));
}

Result<RecordKind> readKind(const std::string &text)
{
    if (const auto kind = recordKindFromText(text)) {
        return *kind;
    }
    std::vector<std::string> names;
    names.reserve(allRecordKinds.size());
    for (const auto kind : allRecordKinds) {
        names.emplace_back(toText(kind));
    }
    const auto nearest = json::nearestWord(text, names);
    return Error{ErrorKind::MalformedRequest,
                 "there is no kind \"" + text + "\"" + (nearest ? "; did you mean \"" + *nearest + "\"?" : std::string())};
}

std::string cell(const Json &value, const char *key)
{
    const auto found = value.is_object() ? value.find(key) : value.end();
    if (found == value.end() || found->is_null()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string timeText(std::int64_t wallMs)
{
    constexpr std::size_t bufferBytes = 32;
    const std::time_t seconds = wallMs / millisecondsInSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, bufferBytes> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

} // namespace cardamomstep::cli::impl
