// What one owner of a group tells the other owners about the group's primary.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"

namespace cardamomstep {

/// Another owner's latest knowledge of a primary.
struct PeerSighting {
    /// The primary it believes in; empty when it knows of none.
    MemberName primary;
    /// Term of that primary.
    Term term;
    /// Highest term that it saw adopted by any member.
    Term highest;
    /// Last entry of the primary's log that it saw.
    Mark log;
    /// Time since its last sign of life from the primary.
    Milliseconds age{0};

    [[nodiscard]] bool operator==(const PeerSighting &) const = default;
};

} // namespace cardamomstep
