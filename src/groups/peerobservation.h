// What one owner of a group reports to the other owners about the group's primary.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"

namespace cardamomstep {

/// Another owner's last observation of a primary.
struct PeerObservation {
    /// The primary that it observes; empty when there is none.
    MemberName primary;
    /// Term of that primary.
    Term term;
    /// Highest term that it knows of.
    Term highest;
    /// End of the primary's log in its last report to that owner.
    LogPosition log;
    /// Time since its last contact with the primary.
    Milliseconds contactAge{0};

    [[nodiscard]] bool operator==(const PeerObservation &) const = default;
};

} // namespace cardamomstep
