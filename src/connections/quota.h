// Division of a member's connection limit among the proxies that own its group.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "connections/fwd.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstep {

/// Returns the quota of \a self when \a limit is divided among \a owners; 0 when it is not one of them.
///
/// The quotas add up to \a limit. The remainder of the division goes to the owners that come first by name.
[[nodiscard]] std::uint32_t quotaOf(std::uint32_t limit, const std::vector<InstanceName> &owners, const InstanceName &self);

/// One proxy's quota of a member's connections: it shrinks at once and grows only by what other proxies have released.
///
/// No coordinator assigns quotas. Each owner computes its quota from the list of owners and leaves unused what any other proxy may
/// still have open: the greater of that proxy's quota by the current list and its earlier allocation. The earlier allocation is the
/// greatest of what the proxy last reported and its quotas by the lists replaced since then; it expires when the expiry time has passed
/// since the last report or list.
///
/// The connections of all proxies stay within the limit as long as every present or former owner receives each list, and closes the
/// connections beyond its new quota, within the expiry time. Where that does not hold, for example for an owner that has just started
/// and never received the earlier list, the member's own limit is the last safeguard: it refuses the connection, and the pool backs off.
class ConnectionQuota
{
public:
    ConnectionQuota(InstanceName self, std::uint32_t limit, Milliseconds expiry);

    /// Sets the current owners of the group.
    void setOwners(const std::vector<InstanceName> &owners, TimePoint now);

    /// Returns the allocation to report to the other owners while \a open connections are open: the most that may be open until the
    /// next list of owners arrives.
    [[nodiscard]] std::uint32_t allocation(std::uint32_t open) const noexcept
    {
        return open < quota_ ? quota_ : open;
    }

    /// Records the allocation() that another proxy reported.
    void onPeerAllocation(const InstanceName &other, std::uint32_t connections, TimePoint now);

    /// The number of connections that this proxy may have open now.
    [[nodiscard]] std::uint32_t allowed(TimePoint now) const;

    /// The time at which the first earlier allocation that exceeds its proxy's quota expires, if any.
    [[nodiscard]] std::optional<TimePoint> nextWake(TimePoint now) const noexcept;

private:
    /// What another proxy may have open.
    struct Claim {
        InstanceName owner;
        /// Quota by the current list; 0 for a former owner.
        std::uint32_t quota = 0;
        /// Connections that it may still have open from earlier lists or by its last report, until `earlierExpiresAt`.
        std::uint32_t earlierAllocation = 0;
        TimePoint earlierExpiresAt;
    };

    [[nodiscard]] Claim &claimOf(const InstanceName &owner);
    void dropExpired(TimePoint now);

    InstanceName self_;
    std::uint32_t limit_;
    Milliseconds expiry_;
    /// This proxy's quota by the current list.
    std::uint32_t quota_ = 0;
    /// The other proxies' claims; never contains self_.
    std::vector<Claim> claims_;
};

} // namespace cardamomstep
