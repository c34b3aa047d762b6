// The lines of a GroupMonitor's trace: one JSON object each, no statement arguments.
//
// The first line describes the machine, each further one an input with the actions that followed, or a stated outcome:
//     {"trace": "cardamomstep/1", "machine": "group-monitor", "group": "ledger-1", "members": [...], "policy": {...}, ...}
//     {"at": 1000000, "input": {"kind": "tick"}, "actions": [{"kind": "send-report", "member": "m1", ...}]}
//     {"at": 2000000, "outcome": {"primary": "m2", "term": "3.1f", "confirmed": true}}
// Times are microseconds of the decision clock.
#pragma once

#include "base/result.h"
#include "trace/groupinput.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep::trace {

/// Version of the format, as the first line names it.
inline constexpr std::string_view formatVersion = "cardamomstep/1";

/// What a GroupMonitor was made of.
struct GroupStart {
    GroupName group;
    std::vector<GroupMember> members;
    unsigned rank = 0;
    GroupPolicy policy;
    std::uint64_t seed = 0;
    TimePoint now;
};

/// A further line: an input with its actions, or a stated outcome.
struct GroupStep {
    TimePoint now;
    std::optional<GroupInput> input;
    /// Each action as JSON text.
    std::vector<std::string> actions;
    /// The primary that must be known now, as JSON text; "null" for none.
    std::optional<std::string> outcome;
};

/// \a action as JSON text; equal actions give equal texts.
[[nodiscard]] std::string actionText(const GroupAction &action);

/// \a primary as JSON text.
[[nodiscard]] std::string outcomeText(const std::optional<PrimaryInfo> &primary);

/// The first line.
[[nodiscard]] std::string startLine(const GroupStart &start);

/// The line of an input and the actions that followed.
[[nodiscard]] std::string stepLine(const GroupInput &input, const GroupActions &actions, TimePoint now);

/// The line that states an outcome.
[[nodiscard]] std::string outcomeLine(const std::optional<PrimaryInfo> &primary, TimePoint now);

/// Reads the first line; errors are MalformedRequest and UnsupportedVersion.
[[nodiscard]] Result<GroupStart> readStart(std::string_view line);

/// Reads a further line; the error is MalformedRequest.
[[nodiscard]] Result<GroupStep> readStep(std::string_view line);

} // namespace cardamomstep::trace
