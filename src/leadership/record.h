// What the fleet has agreed on about one group's primary, as stored and as told between proxies.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"
#include "relay/message.h"
#include "store/object.h"

#include <cstdint>
#include <optional>

namespace cardamomstep::leadership {

/// Longest time that a proxy relies on what it was told about primaries without hearing it again.
inline constexpr Milliseconds viewLease{700};

/// The primary of one group.
struct GroupRecord {
    GroupName group;
    /// The member that leads, or led until the move that is under way.
    MemberName primary;
    /// Grows with each move.
    std::uint64_t generation = 0;
    /// A move is under way: nobody sends anything new to the primary.
    bool moving = false;
    /// Revision of the stored record; orders what different proxies tell.
    Revision revision;

    [[nodiscard]] bool operator==(const GroupRecord &) const = default;
};

/// What one proxy has seen of a group's primary.
struct PrimarySighting {
    GroupName group;
    std::uint64_t generation = 0;
    /// Time since the primary last answered this proxy; nothing when it never did.
    std::optional<Milliseconds> sinceAnswer;
    /// Time since which writes have gone unanswered.
    Milliseconds writesStalled{0};
    /// Highest position that this proxy acknowledged to a caller, or was told that others did.
    Mark acknowledged;
};

/// A member's account of itself, and which member that is.
struct MemberStatus {
    MemberName member;
    relay::MemberAccount account;
};

} // namespace cardamomstep::leadership
