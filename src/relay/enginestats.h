// What the engine reports of its groups and members, for operators and metrics.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "relay/cachedprimary.h"
#include "relay/membercapacity.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace cardamomstep::relay {

/// One group's state, for operators and metrics.
struct GroupStats {
    GroupName group;
    CachedPrimary primary;
    /// When the primary announced that it drains; nothing unless it did.
    std::optional<TimePoint> primaryDrainingSince;
    /// Number of statements that wait for a connection.
    std::size_t waiting = 0;
    /// Connections to all members of the group, those being opened included.
    std::uint32_t connections = 0;
    std::uint32_t connectionsInUse = 0;
};

/// What one proxy has learned of a member.
struct MemberCapacityStats {
    GroupName group;
    MemberName member;
    /// Speed relative to the group's fastest member, from 0 to 1; 0 if reads avoid it.
    double capacity = 0;
    std::uint32_t inFlightLimit = 0;
    MemberCondition condition = MemberCondition::Normal;
};

} // namespace cardamomstep::relay
