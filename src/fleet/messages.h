// What session proxies tell each other, as plain values.
#pragma once

#include "leadership/record.h"

#include <cstdint>
#include <vector>

namespace cardamomstep::fleet {

/// Asks the lease holder for a renewed view.
struct RenewRequest {
    InstanceName instance;
    std::vector<leadership::PrimarySighting> sightings;
};

/// The holder's view, or who holds the lease.
struct RenewReply {
    bool granted = false;
    std::vector<leadership::GroupRecord> records;
    InstanceName holder;
    std::uint32_t liveProxies = 0;
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
