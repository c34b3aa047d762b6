// What one owner of a group reports to the other owners about the group's primary.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"

namespace cardamomstep {

/// What one owner last observed of the group's primary.
struct PeerObservation {
    /// The primary as that owner knows it; empty when it knows none.
    MemberName primary;
    /// Term of that primary.
    Term term;
    /// Highest term that the owner knows of.
    Term highest;
    /// End of the primary's log in its last report to that owner.
    LogPosition log;
    /// Time since the owner's last contact with the primary.
    Milliseconds contactAge{0};

    [[nodiscard]] bool operator==(const PeerObservation &) const = default;
};

} // namespace cardamomstep
