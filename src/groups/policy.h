// Time bounds of failure detection and promotion in one database group.
#pragma once

#include "base/time.h"

#include <algorithm>

namespace cardamomstep {

/// How long a group's monitor waits for what.
///
/// Invariant for useful bounds: `probeTimeout` is below `silenceBound`, so that a connection gone silent is
/// replaced and the member asked anew before the member itself is suspected.
struct GroupPolicy {
    /// How long a primary may pause without being replaced.
    Milliseconds silenceBound{200};
    /// Longest time between two signs of life of a healthy primary.
    Milliseconds heartbeatInterval{50};
    /// A replica's heartbeat interval is this many times longer than the primary's.
    unsigned replicaHeartbeatFactor = 1;
    /// Time for two round trips to a member: opening a connection and one exchange.
    Milliseconds roundTripAllowance{15};
    /// How long past its waiting time a report may stay unanswered.
    Milliseconds probeTimeout{60};
    /// Pause after a waiting report that came back early without any news.
    Milliseconds idleReportGap{5};
    /// Two refused connections within this time mean that the process is gone.
    Milliseconds refusalWindow{500};
    /// Pause before asking again after a refused connection.
    Milliseconds refusalRetry{5};
    /// How long replicas may stand still behind their primary before it is replaced; see stallBound().
    Milliseconds replicationBound{300};
    /// Largest value of that bound after promotions that did not mend replication.
    Milliseconds replicationBoundLimit{30'000};

    /// Wait of an owner for each owner of a lower rank.
    Milliseconds rankStagger{40};
    /// Largest random addition to a wait of rank 1 and up.
    Milliseconds jitter{15};
    /// How long an attempt seen from elsewhere may take before it counts as abandoned.
    Milliseconds attemptPatience{60};
    /// How long an own attempt may take.
    Milliseconds attemptTimeout{400};
    /// How long one order may stay unanswered.
    Milliseconds orderTimeout{150};
    /// Pause before an order is sent again.
    Milliseconds orderRetry{10};
    /// Smallest and largest pause after a failed attempt; it doubles with each failure.
    Milliseconds backOffMin{20};
    Milliseconds backOffMax{1000};
    /// Pause before a member that does not follow is told again.
    Milliseconds followRetry{250};

    /// How long writes are held at most during a switchover.
    Milliseconds holdLimit{1000};
    /// How long the primary's log must stand still under the hold before it is handed over.
    Milliseconds quietTime{20};
    /// Pause between two tries of one switchover.
    Milliseconds switchoverRetry{2000};

    /// Silence after which a member is suspected.
    ///
    /// A pause may begin at any time up to the moment when the next sign of life is due, so the heartbeat interval
    /// comes on top of the bound: a pause shorter than the bound never reaches this value.
    [[nodiscard]] constexpr Milliseconds suspectAfter(bool primary = true) const noexcept
    {
        return silenceBound + heartbeat(primary);
    }

    /// Longest time between two signs of life of a healthy primary or replica.
    [[nodiscard]] constexpr Milliseconds heartbeat(bool primary) const noexcept
    {
        return primary ? heartbeatInterval : heartbeatInterval * replicaHeartbeatFactor;
    }

    /// How long replicas may stand still behind their primary; a pause shorter than the silence bound stays below it.
    [[nodiscard]] constexpr Milliseconds stallBound() const noexcept
    {
        return std::max(replicationBound, silenceBound + 4 * roundTripAllowance);
    }

    /// Waiting time of one report, so that its reply is here within the heartbeat.
    [[nodiscard]] constexpr Milliseconds reportWait(bool primary) const noexcept
    {
        return std::max(heartbeat(primary) - roundTripAllowance, heartbeat(primary) / 2);
    }
};

} // namespace cardamomstep
