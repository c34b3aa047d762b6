// The events of one request, collected from the logs of several processes.
#pragma once

#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep::cli {

/// One parsed log line.
struct LogLine {
    /// UTC in ISO 8601 with milliseconds, so that texts compare in order of time.
    std::string time;
    std::string instance;
    std::string event;
    /// All other fields by key.
    std::map<std::string, std::string> fields;
};

/// Parses a key=value line; the event is empty when \a text isn't one. Text before `time=` is ignored.
[[nodiscard]] LogLine parseLogLine(std::string_view text);

/// The log lines of the request \a id and the state changes that its result depends on: the last changes of its group's primary, of the
/// configuration, of members and of dependencies that the same process logged before each of these lines.
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string id)
        : id_(std::move(id))
    {
    }

    /// Reads the lines of one log.
    void read(std::istream &log);

    /// The request's lines, ordered by time.
    [[nodiscard]] std::vector<LogLine> lines() const;

    /// The last state change of each kind before each of the request's lines, on the same process, ordered by time.
    [[nodiscard]] std::vector<LogLine> stateChanges() const;

private:
    [[nodiscard]] bool mentionsRequest(const LogLine &line, const std::string &field) const;

    /// The id of a statement, of the statement that began its transaction, or of the first statement of its session setup.
    std::string id_;
    std::vector<LogLine> lines_;
    std::vector<LogLine> stateChanges_;
};

} // namespace cardamomstep::cli
