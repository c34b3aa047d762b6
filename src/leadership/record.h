// The record of one group's primary, as stored and as exchanged between proxies.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"
#include "relay/message.h"
#include "store/object.h"

#include <cstdint>
#include <optional>

namespace cardamomstep::leadership {

/// Longest time that a proxy relies on a record of a primary without renewing it.
inline constexpr Milliseconds primaryTableLease{700};

/// The primary of one group.
struct GroupRecord {
    GroupName group;
    /// The member that leads, or led until the change that is in progress.
    MemberName primary;
    /// Grows with each primary change.
    std::uint64_t generation = 0;
    /// True while a primary change is in progress: no proxy sends anything new to the primary.
    bool changeInProgress = false;
    /// Revision of the stored record; orders records from different proxies.
    Revision revision;
    /// The epoch of the store in which a lease holder wrote this version.
    StoreEpoch writtenIn;
    /// While a change is in progress: more than one member may have been promoted for it. Only the store and the lease holder know.
    bool contested = false;

    /// False when the store may have lost a newer version, or when a write from an earlier epoch of the store was executed late.
    [[nodiscard]] bool confirmed() const noexcept
    {
        return writtenIn == revision.epoch;
    }
    [[nodiscard]] bool operator==(const GroupRecord &) const = default;
};

/// One proxy's observation of a group's primary.
struct PrimaryObservation {
    GroupName group;
    std::uint64_t generation = 0;
    /// Time since the primary's last reply to this proxy; nothing when there was none.
    std::optional<Milliseconds> sinceLastReply;
    /// How long writes have been without a reply; 0 when none is stalled.
    Milliseconds writesStalledFor{0};
    /// Highest log position that this proxy acknowledged to a caller, or that other proxies reported as acknowledged.
    LogPosition acknowledged;
};

/// A member and its reply to a status query.
struct MemberStatus {
    MemberName member;
    relay::MemberStatusReply reply;
};

} // namespace cardamomstep::leadership
