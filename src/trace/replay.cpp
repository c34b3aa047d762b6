// Replays recorded inputs on a new GroupMonitor and finds the first difference.
#include "trace/replay.h"

#include "trace/grouplines.h"

#include <algorithm>

namespace cardamomstep::trace {

namespace {

/// The longest accepted line; trace lines are shorter.
constexpr std::size_t maxLineBytes = std::size_t{1} << 20U;

constexpr const char *nothing = "nothing";

std::optional<ReplayDifference> compareActions(const std::vector<std::string> &recorded, const GroupActions &actions, std::size_t line)
{
    const auto count = std::max(recorded.size(), actions.size());
    for (std::size_t index = 0; index < count; ++index) {
        const auto before = index < recorded.size() ? recorded[index] : std::string(nothing);
        const auto after = index < actions.size() ? actionText(actions[index]) : std::string(nothing);
        if (before != after) {
            return ReplayDifference{line, before, after};
        }
    }
    return std::nullopt;
}

std::optional<ReplayDifference> replayStep(GroupMonitor &monitor, const GroupStep &step, std::size_t line)
{
    if (step.input) {
        return compareActions(step.actions, apply(monitor, *step.input, step.now), line);
    }
    const auto reached = outcomeText(monitor.primary());
    if (*step.outcome != reached) {
        return ReplayDifference{line, *step.outcome, reached};
    }
    return std::nullopt;
}

Error withLine(Error error, std::size_t line)
{
    error.position = SourcePosition{"trace", static_cast<std::uint32_t>(line), {}};
    return error;
}

} // namespace

Result<ReplayReport> replay(std::istream &lines)
{
    std::string text;
    std::size_t line = 1;
    std::getline(lines, text);
    const auto start = readStart(text);
    if (!start) {
        return withLine(start.error(), line);
    }
    GroupMonitor monitor{start->members, start->rank, start->policy, start->seed, start->now};
    ReplayReport report;
    while (std::getline(lines, text)) {
        ++line;
        if (text.size() > maxLineBytes) {
            return withLine(Error{ErrorKind::TooLarge, "the line is longer than 1 MiB"}, line);
        }
        const auto step = readStep(text);
        if (!step) {
            return withLine(step.error(), line);
        }
        ++report.steps;
        report.difference = replayStep(monitor, *step, line);
        if (report.difference) {
            break;
        }
    }
    return report;
}

ReplayExit runReplay(std::istream &lines, std::ostream &out, std::ostream &errors)
{
    const auto report = replay(lines);
    if (!report) {
        errors << report.error() << "\n";
        return ReplayExit::Unreadable;
    }
    if (!report->difference) {
        out << "same: " << report->steps << " steps\n";
        return ReplayExit::Same;
    }
    const auto &difference = *report->difference;
    out << "different at line " << difference.line << "\n"
        << "  recorded: " << difference.recorded << "\n"
        << "  replayed: " << difference.replayed << "\n";
    return ReplayExit::Different;
}

} // namespace cardamomstep::trace
