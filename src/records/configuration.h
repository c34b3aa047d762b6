// The records that operators write: database groups, routing intents and stop plans.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "records/fwd.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cardamomstep {

/// Wall-clock time in milliseconds since 1970-01-01 UTC, for records only; decisions use TimePoint.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// One member of a database group.
struct MemberSpec {
    MemberName name;
    FailureDomain failureDomain;
    Address address;

    [[nodiscard]] bool operator==(const MemberSpec &) const = default;
};

/// A database group; its record's name is the group's name.
struct DatabaseGroup {
    /// One or more, with distinct names and addresses.
    std::vector<MemberSpec> members;
    /// Most connections to each member, over all proxies.
    std::uint32_t connections = 1;
    /// Statements that each member runs at once; at most `connections`.
    std::uint32_t slots = 1;
    /// Usual time that a statement holds a slot.
    Milliseconds serviceTime{5};

    [[nodiscard]] bool operator==(const DatabaseGroup &) const = default;
};

/// Sends the keys with one prefix to one group.
struct PrefixRule {
    std::string prefix;
    GroupName group;

    [[nodiscard]] bool operator==(const PrefixRule &) const = default;
};

/// Which groups hold the keys of a service.
struct RoutingIntent {
    ServiceName service;
    /// Keys without a matching prefix rule are spread over these by hash; at least one. The order matters: appending moves few keys.
    std::vector<GroupName> groups;
    /// The rule with the longest matching prefix wins.
    std::vector<PrefixRule> prefixes;
    /// Age of data that a read accepts when it names none; none means that such a read must be current.
    std::optional<Milliseconds> acceptedAge;
    /// Part of each group's slots, in percent, that this service always gets.
    std::uint32_t guaranteedPercent = 0;

    [[nodiscard]] bool operator==(const RoutingIntent &) const = default;
};

/// A member that shall stop.
struct EndpointTarget {
    GroupName group;
    MemberName member;

    [[nodiscard]] bool operator==(const EndpointTarget &) const = default;
};

/// A proxy that shall stop.
struct InstanceTarget {
    InstanceName instance;

    [[nodiscard]] bool operator==(const InstanceTarget &) const = default;
};

/// Whether a stop plan is to be carried out.
enum class PlanState : std::uint8_t {
    Active, ///< To be carried out once its time has come.
    Ended, ///< Has no effect; what it stopped may take work again.
};

/// A planned stop.
struct StopPlan {
    std::variant<EndpointTarget, InstanceTarget> target;
    PlanState state = PlanState::Active;
    /// Nothing happens before this time; none means at once.
    std::optional<WallTime> notBefore;

    [[nodiscard]] bool operator==(const StopPlan &) const = default;
};

} // namespace cardamomstep
