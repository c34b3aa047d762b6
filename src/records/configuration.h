// The records that operators write: database groups, routing intents, stop plans and customers.
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
    /// The most connections to each member, over all proxies.
    std::uint32_t connections = 1;
    /// The number of statements that each member runs at once; at most `connections`.
    std::uint32_t slots = 1;
    /// The usual time for which a statement occupies a slot.
    Milliseconds serviceTime{5};

    [[nodiscard]] bool operator==(const DatabaseGroup &) const = default;
};

/// Routes the keys with one prefix to one group.
struct PrefixRule {
    std::string prefix;
    GroupName group;

    [[nodiscard]] bool operator==(const PrefixRule &) const = default;
};

/// Which groups hold the keys of a service.
struct RoutingIntent {
    ServiceName service;
    /// Groups over which keys without a matching prefix rule are distributed by hash; at least one. Their order is significant, and
    /// appending a group moves few keys.
    std::vector<GroupName> groups;
    /// The rule with the longest matching prefix applies.
    std::vector<PrefixRule> prefixes;
    /// The age of data that a read accepts if it states none itself; without a value such a read must be current.
    std::optional<Milliseconds> acceptedAge;
    /// The share of each group's slots, in percent, that is guaranteed to this service.
    std::uint32_t guaranteedPercent = 0;

    [[nodiscard]] bool operator==(const RoutingIntent &) const = default;
};

/// A member that is to be stopped.
struct EndpointTarget {
    GroupName group;
    MemberName member;

    [[nodiscard]] bool operator==(const EndpointTarget &) const = default;
};

/// A proxy that is to be stopped.
struct InstanceTarget {
    InstanceName instance;

    [[nodiscard]] bool operator==(const InstanceTarget &) const = default;
};

/// Whether a stop plan is in effect.
enum class PlanState : std::uint8_t {
    Active, ///< In effect once its time is reached.
    Ended, ///< Has no effect; its target may receive work again.
};

/// A planned stop.
struct StopPlan {
    std::variant<EndpointTarget, InstanceTarget> target;
    PlanState state = PlanState::Active;
    /// The plan has no effect before this time; without a value it takes effect at once.
    std::optional<WallTime> notBefore;

    [[nodiscard]] bool operator==(const StopPlan &) const = default;
};

/// A customer; its record's name is the customer's name.
struct CustomerSpec {
    /// Digests of the keys with which callers send statements on its behalf, as "sha256:" and 64 lower-case hexadecimal digits; distinct.
    std::vector<std::string> keys;
    /// The operations that it may begin per second; without a value it is not limited.
    std::optional<std::uint32_t> ratePerSecond;
    /// The operations that it may begin at once beyond that rate.
    std::uint32_t burst = 0;

    [[nodiscard]] bool operator==(const CustomerSpec &) const = default;
};

} // namespace cardamomstep
