// The lines of a GroupMonitor's trace: one JSON object each, without statement arguments.
//
// The first line describes the state machine; each further one has an input and the resulting actions, or an expected outcome:
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

/// The format version in the first line.
inline constexpr std::string_view formatVersion = "cardamomstep/1";

/// The arguments that a GroupMonitor was constructed with.
struct GroupStart {
    GroupName group;
    std::vector<GroupMember> members;
    unsigned rank = 0;
    GroupPolicy policy;
    std::uint64_t seed = 0;
    TimePoint now;
};

/// A further line: an input with its actions, or an expected outcome.
struct GroupStep {
    TimePoint now;
    std::optional<GroupInput> input;
    /// Each action as JSON text.
    std::vector<std::string> actions;
    /// The primary that the monitor must have at \a now, as JSON text; "null" for none.
    std::optional<std::string> outcome;
};

/// Returns \a action as JSON text; equal actions give equal texts.
[[nodiscard]] std::string actionText(const GroupAction &action);

/// Returns \a primary as JSON text, "null" if there is none.
[[nodiscard]] std::string outcomeText(const std::optional<PrimaryInfo> &primary);

/// Formats the first line.
[[nodiscard]] std::string startLine(const GroupStart &start);

/// Formats the line of an input and its actions.
[[nodiscard]] std::string stepLine(const GroupInput &input, const GroupActions &actions, TimePoint now);

/// Formats the line of an expected outcome.
[[nodiscard]] std::string outcomeLine(const std::optional<PrimaryInfo> &primary, TimePoint now);

/// Reads the first line; errors are MalformedRequest and UnsupportedVersion.
[[nodiscard]] Result<GroupStart> readStart(std::string_view line);

/// Reads a further line; the error is MalformedRequest.
[[nodiscard]] Result<GroupStep> readStep(std::string_view line);

} // namespace cardamomstep::trace
