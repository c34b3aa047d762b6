// Settings of the engine.
#pragma once

#include "base/time.h"
#include "customers/customerlimits.h"
#include "relay/memberpool.h"

#include <cstddef>
#include <cstdint>

namespace cardamomstep::relay {

/// Settings of the engine.
struct EngineLimits {
    MemberPoolLimits pool;
    /// Connections of each member that are left out of the fair shares: those of a replaced proxy stay open for some seconds.
    std::uint32_t reservedConnections = 2;
    /// Connections to one member that a process may open while others leave theirs unused, even if its fair share is smaller.
    std::uint32_t minSurplusConnections = 2;
    /// The maximum number of connections to one member that may be opening at the same time.
    std::uint32_t maxOpeningPerMember = 2;
    /// The maximum number of statements waiting in one group.
    std::size_t maxWaiting = 400;
    /// The longest wait for a connection while the group can be served. The statement is then refused, since another proxy may have a
    /// free connection.
    Milliseconds connectionTimeout{400};
    /// The maximum number of times that one statement is sent to members.
    std::uint32_t maxAttempts = 4;
    /// The shortest time after which a read without a reply is sent to another member as well.
    Milliseconds hedgeDelay{200};
    /// The maximum number of members that an overdue read is sent to.
    std::uint32_t maxHedgedMembers = 2;
    /// The shortest time after which a transaction's statement without a reply counts as lost.
    Milliseconds transactionReplyTimeout{400};
    /// A reply is overdue after the smoothed mean of the member's reply time plus this many mean deviations.
    double overdueFactor = 6.0;
    /// How long an idle session is kept open while draining if a statement is expected: the first one of the session, or the one
    /// that follows session setup.
    Milliseconds drainIdleTimeout{400};
    /// While draining, a transaction is not begun if less than this time is left for it.
    Milliseconds minDrainTimeForBegin{1000};
    /// How long a replica that lagged gets no reads that need a position beyond its last known one.
    Milliseconds laggingBackoff{60};
    /// Time between two probes of the primary's log position while no statement reply carries one.
    Milliseconds probeInterval{300};
    /// Extra cost of a read at the primary, which keeps its slots for writes.
    Microseconds primaryPenalty{30'000};
    /// Reads are divided by the learned capacity of members; otherwise they go to the member of the lowest cost.
    bool learnMemberCapacity = false;
    /// Extra cost of a read at the primary if capacity is learned: load raises the learned cost as well.
    Microseconds learnedPrimaryPenalty{10'000};
    /// Extra cost of a member in another failure domain.
    Microseconds remotePenalty{6'000};
    /// How long a member serves after it announced that it drains.
    Milliseconds memberDrain{7'000};
    /// The end of that time in which the member gets no new work: the announcement was seen late, and statements take time to arrive.
    Milliseconds memberDrainMargin{1'000};
    /// Bounds of the retry-after time in refusals.
    Milliseconds minRetryAfter{20};
    Milliseconds maxRetryAfter{1'000};
    /// How exactly rate limits of customers must hold.
    customers::LimitTerms customers;
    /// Customers' buckets start full; see CustomerLimits.
    bool customersStartFull = false;
};

} // namespace cardamomstep::relay
