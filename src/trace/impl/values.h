// JSON forms of the values in traces, for use inside this module only. Readers throw nlohmann::json::exception or BadValue.
#pragma once

#include "groups/policy.h"
#include "trace/groupinput.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>

namespace cardamomstep::trace::impl {

using Json = nlohmann::json;

/// Thrown for a value that has the right JSON type but is invalid.
class BadValue : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

[[nodiscard]] Json write(TimePoint time);
[[nodiscard]] Json write(const MemberReport &report);
[[nodiscard]] Json write(const ConnectionFailure &failure);
[[nodiscard]] Json write(const TermReply &reply);
[[nodiscard]] Json write(const PeerObservation &observation);
[[nodiscard]] Json write(const std::vector<GroupMember> &members);
[[nodiscard]] Json write(const GroupPolicy &policy);
[[nodiscard]] Json write(OrderKind kind);

[[nodiscard]] TimePoint readTime(const Json &json);
[[nodiscard]] Term readTerm(const Json &json);
[[nodiscard]] MemberReport readReport(const Json &json);
[[nodiscard]] ConnectionFailure readFailure(const Json &json);
[[nodiscard]] TermReply readReply(const Json &json);
[[nodiscard]] PeerObservation readObservation(const Json &json);
[[nodiscard]] std::vector<GroupMember> readMembers(const Json &json);
[[nodiscard]] GroupPolicy readPolicy(const Json &json);
[[nodiscard]] OrderKind readOrder(const Json &json);

} // namespace cardamomstep::trace::impl
