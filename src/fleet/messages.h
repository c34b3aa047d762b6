// What session proxies tell each other, as plain values.
#pragma once

#include "leadership/fleetlease.h"
#include "leadership/record.h"
#include "store/catalogrevisions.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstep::fleet {

/// Asks the lease holder for a renewed view.
struct RenewRequest {
    InstanceName instance;
    std::vector<leadership::PrimarySighting> sightings;
    /// Time since the store last answered the sender.
    std::optional<Milliseconds> sinceStore;
    /// Proxies that renew their views at the sender.
    std::vector<InstanceName> clients;
    /// How new a catalog the sender knows or was told of.
    CatalogMarks marks;
};

/// A view of the primaries, and the lease as far as the sender knows it.
struct RenewReply {
    /// The records were current `age` before the reply was sent.
    bool granted = false;
    Milliseconds age{0};
    std::vector<leadership::GroupRecord> records;
    leadership::LeaseWord lease;
    /// Time since the store last answered the holder, where the holder itself replies.
    std::optional<Milliseconds> holderSinceStore;
    /// How new a catalog the sender knows or was told of.
    CatalogMarks marks;
    /// Fencing token of a lease that the sender held and gives up by this word; 0 for none.
    std::uint64_t yieldedFence = 0;
};

/// A newer record of one group.
struct Announcement {
    leadership::GroupRecord record;
    /// Statements in flight at the old primary may end within this time.
    Milliseconds drain{0};
};

/// What the receiver of an announcement has acknowledged to callers.
struct HoldReply {
    Mark acknowledged;
    Milliseconds uptime{0};
};

} // namespace cardamomstep::fleet
