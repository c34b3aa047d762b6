// What this process believes of a group's primary, and until when it may act on it.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"

namespace cardamomstep::relay {

/// The primary of one group.
///
/// While `now < validUntil` no other member can have become primary. After that the belief may be out of date, and nothing may be read
/// from the primary on its strength.
struct PrimaryBelief {
    /// Empty while the primary is not known.
    MemberName member;
    /// Number of the promotion that made it primary; grows with each promotion.
    std::uint64_t generation = 0;
    TimePoint validUntil;
    /// A promotion is under way: nothing new is sent to the primary.
    bool held = false;

    /// True when statements may be sent to the primary at \a now.
    [[nodiscard]] bool usable(TimePoint now) const noexcept
    {
        return !member.empty() && !held && now < validUntil;
    }
};

} // namespace cardamomstep::relay
