// The cached primary of a group, and until when this process may use it.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"

namespace cardamomstep::relay {

/// The primary of one group, as cached by this process.
///
/// While `now < validUntil` no other member can have become primary. After that the entry may be out of date, and reads must not rely
/// on it.
struct CachedPrimary {
    /// Empty while the primary is unknown.
    MemberName member;
    /// Number of the primary change that ended with this primary; increases with each change.
    std::uint64_t generation = 0;
    TimePoint validUntil;
    /// A primary change is in progress: no new statements are sent to the primary.
    bool changeInProgress = false;

    /// Returns true if statements may be sent to the primary at \a now.
    [[nodiscard]] bool usable(TimePoint now) const noexcept
    {
        return !member.empty() && !changeInProgress && now < validUntil;
    }
};

} // namespace cardamomstep::relay
