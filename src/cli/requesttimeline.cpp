// Finds a request's lines in logs.
#include "cli/requesttimeline.h"

#include <algorithm>
#include <set>

namespace cardamomstep::cli {

namespace {

const std::set<std::string, std::less<>> beliefEvents{"primary", "configuration", "member_entry", "dependency_lost", "dependency_regained"};

/// Reads a value that begins at \a from; quoted values end at their quote. Sets \a from behind it.
std::string takeValue(std::string_view text, std::size_t &from)
{
    std::string value;
    if (from >= text.size() || text[from] != '"') {
        const auto end = std::min(text.find(' ', from), text.size());
        value = text.substr(from, end - from);
        from = end;
        return value;
    }
    for (++from; from < text.size() && text[from] != '"'; ++from) {
        if (text[from] == '\\' && from + 1 < text.size()) {
            ++from;
        }
        value += text[from];
    }
    ++from;
    return value;
}

void sortByTime(std::vector<LogLine> &lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const auto &left, const auto &right) { return left.time < right.time; });
}

} // namespace

LogLine parseLogLine(std::string_view text)
{
    LogLine line;
    auto from = text.find("time=");
    while (from != std::string_view::npos && from < text.size()) {
        const auto equals = text.find('=', from);
        if (equals == std::string_view::npos) {
            break;
        }
        const std::string key(text.substr(from, equals - from));
        from = equals + 1;
        auto value = takeValue(text, from);
        from = text.find_first_not_of(' ', from);
        if (key == "time") {
            line.time = std::move(value);
        } else if (key == "instance") {
            line.instance = std::move(value);
        } else if (key == "event") {
            line.event = std::move(value);
        } else {
            line.fields.emplace(key, std::move(value));
        }
    }
    return line;
}

bool RequestStory::tellsOf(const LogLine &line, const std::string &field) const
{
    const auto found = line.fields.find(field);
    return found != line.fields.end() && found->second == id_;
}

void RequestStory::read(std::istream &log)
{
    std::string text;
    while (std::getline(log, text)) {
        auto line = parseLogLine(text);
        if (tellsOf(line, "id") || tellsOf(line, "transaction") || tellsOf(line, "prelude")) {
            lines_.push_back(std::move(line));
        } else if (beliefEvents.contains(line.event)) {
            beliefs_.push_back(std::move(line));
        }
    }
}

std::vector<LogLine> RequestStory::lines() const
{
    auto lines = lines_;
    sortByTime(lines);
    return lines;
}

std::vector<LogLine> RequestStory::beliefs() const
{
    std::vector<LogLine> found;
    for (const auto &own : lines_) {
        std::map<std::string, LogLine> last;
        for (const auto &belief : beliefs_) {
            const auto group = belief.fields.find("group");
            const auto ownGroup = own.fields.find("group");
            const bool otherGroup = group != belief.fields.end() && ownGroup != own.fields.end() && group->second != ownGroup->second;
            if (belief.instance != own.instance || belief.time > own.time || otherGroup) {
                continue;
            }
            auto &newest = last[belief.event];
            if (newest.time <= belief.time) {
                newest = belief;
            }
        }
        for (const auto &entry : last) {
            const auto &line = entry.second;
            const bool known = std::any_of(found.begin(), found.end(), [&line](const auto &other) {
                return other.time == line.time && other.event == line.event && other.instance == line.instance;
            });
            if (!known) {
                found.push_back(line);
            }
        }
    }
    sortByTime(found);
    return found;
}

} // namespace cardamomstep::cli
