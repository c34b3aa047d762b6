// Time bounds of failure detection and promotion in one database group.
#pragma once

#include "base/time.h"

#include <algorithm>

namespace cardamomstep {

/// Time bounds of a group's monitor.
///
/// Invariant for useful bounds: `probeTimeout` is below `silenceBound`, so that a silent connection is
/// replaced and the member queried again before the member itself is suspected.
struct GroupPolicy {
    /// How long a primary's process may pause without being replaced.
    Milliseconds silenceBound{200};
    /// Longest time between two contacts with a healthy primary.
    Milliseconds heartbeatInterval{50};
    /// A replica's heartbeat interval is this many times longer than the primary's.
    unsigned replicaHeartbeatFactor = 1;
    /// Time allowed for two round trips to a member: opening a connection and one exchange.
    Milliseconds roundTripAllowance{15};
    /// How long the reply to a report may take after the end of the report's wait.
    Milliseconds probeTimeout{60};
    /// Delay before the next report when a waiting report returned before its wait ended and showed no change.
    Milliseconds idleReportGap{5};
    /// Two refused connections within this time mean that the process is down.
    Milliseconds refusalWindow{500};
    /// Delay before the next report after a refused connection.
    Milliseconds refusalRetry{5};
    /// How long replicas may be behind their primary without progress before it is replaced; see stallBound().
    Milliseconds replicationBound{300};
    /// Upper limit of that bound, which doubles with each promotion that did not restore replication.
    Milliseconds replicationBoundLimit{30'000};

    /// Delay of an owner's attempt for each owner of a lower rank, which may act first.
    Milliseconds rankStagger{40};
    /// Upper limit of the random addition to that delay, from rank 1 on.
    Milliseconds jitter{15};
    /// How long an attempt of another owner may take, from its observation, before it counts as abandoned.
    Milliseconds attemptPatience{60};
    /// How long an attempt of this owner may take.
    Milliseconds attemptTimeout{400};
    /// How long the reply to one order may take.
    Milliseconds orderTimeout{150};
    /// Delay before an order is sent again.
    Milliseconds orderRetry{10};
    /// Smallest and largest delay after a failed attempt; it doubles with each failure.
    Milliseconds backOffMin{20};
    Milliseconds backOffMax{1000};
    /// Delay before the follow order to a member that does not follow is repeated.
    Milliseconds followRetry{250};

    /// Longest time for which a switchover pauses writes.
    Milliseconds holdLimit{1000};
    /// How long the primary's log must be stable while writes are paused, before a replica is promoted.
    Milliseconds quietTime{20};
    /// Delay before another switchover after an abandoned one, doubled with each further one up to eight times this value. Also the
    /// delay after another owner's write pause.
    Milliseconds switchoverRetry{2000};

    /// The time without contact after which a member is suspected.
    ///
    /// A process pause may begin at any time until the next contact is due, so the heartbeat interval
    /// is added to the bound: a pause shorter than the bound never reaches this value.
    [[nodiscard]] constexpr Milliseconds suspectAfter(bool primary = true) const noexcept
    {
        return silenceBound + heartbeat(primary);
    }

    /// Longest time between two contacts with a healthy primary or replica.
    [[nodiscard]] constexpr Milliseconds heartbeat(bool primary) const noexcept
    {
        return primary ? heartbeatInterval : heartbeatInterval * replicaHeartbeatFactor;
    }

    /// How long replicas may be behind their primary without progress. A process pause shorter than the silence bound doesn't reach it.
    [[nodiscard]] constexpr Milliseconds stallBound() const noexcept
    {
        return std::max(replicationBound, silenceBound + 4 * roundTripAllowance);
    }

    /// Wait of one report, short enough for its reply to arrive within the heartbeat interval.
    [[nodiscard]] constexpr Milliseconds reportWait(bool primary) const noexcept
    {
        return std::max(heartbeat(primary) - roundTripAllowance, heartbeat(primary) / 2);
    }
};

} // namespace cardamomstep
