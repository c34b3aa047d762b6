// The story of one request, collected from log lines of several processes.
#pragma once

#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep::cli {

/// One log line, taken apart.
struct LogLine {
    std::string time;
    std::string instance;
    std::string event;
    /// All fields but those above.
    std::map<std::string, std::string> fields;
};

/// Takes a key=value line apart; an empty event when it is no such line. Text in front of the first key is ignored.
[[nodiscard]] LogLine parseLogLine(std::string_view text);

/// The lines that tell of the request \a id, and those on the beliefs that decided it: changes of the group's primary and of the
/// configuration on the same process up to the last of them.
class RequestStory
{
public:
    explicit RequestStory(std::string id)
        : id_(std::move(id))
    {
    }

    /// Takes in the lines of one log.
    void read(std::istream &log);

    /// The request's lines, by time.
    [[nodiscard]] std::vector<LogLine> lines() const;

    /// The last beliefs before the request's end on the processes that handled it, by time.
    [[nodiscard]] std::vector<LogLine> beliefs() const;

private:
    [[nodiscard]] bool tellsOf(const LogLine &line, const std::string &field) const;

    /// Of a statement, of the one that began its transaction, or of the first that set the session up for it.
    std::string id_;
    std::vector<LogLine> lines_;
    std::vector<LogLine> beliefs_;
};

} // namespace cardamomstep::cli
