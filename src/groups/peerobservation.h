// What one owner of a group tells the other owners about the group's primary.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"

namespace cardamomstep {

/// Another owner's latest knowledge of a primary.
struct PeerObservation {
    /// The primary it believes in; empty when it knows of none.
    MemberName primary;
    /// Term of that primary.
    Term term;
    /// Highest term that it saw adopted by any member.
    Term highest;
    /// Last entry of the primary's log that it saw.
    LogPosition log;
    /// Time since its last sign of life from the primary.
    Milliseconds contactAge{0};

    [[nodiscard]] bool operator==(const PeerObservation &) const = default;
};

} // namespace cardamomstep
