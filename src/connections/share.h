// How the proxies that own a group divide a member's connection limit among them.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "connections/fwd.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstep {

/// The part of \a limit for \a self among \a holders; 0 when it is not one of them.
///
/// The parts add up to \a limit. What does not divide evenly goes to the holders that come first by name.
[[nodiscard]] std::uint32_t shareOf(std::uint32_t limit, const std::vector<InstanceName> &holders, const InstanceName &self);

/// One proxy's view of its own share, which shrinks at once and grows only into what others have released.
///
/// Nobody grants a share. Each holder works it out from the list of owners and counts, for every other proxy that is or was
/// a holder, the greatest of: its share in the current list, the share that it was assumed to hold before, and what it last said it has
/// open. A former holder counts until it says that it has released, or until it has been gone for the expiry time, after which the member
/// has closed its connections. The sum of all holdings stays within the limit while every proxy hears of a change before another's expiry
/// time is over. Where that does not hold, the member's own limit is the last guard: it refuses the connection, and the pool waits.
class ConnectionShare
{
public:
    ConnectionShare(InstanceName self, std::uint32_t limit, Milliseconds expiry);

    /// Takes in the current owners of the group.
    void setHolders(const std::vector<InstanceName> &holders, TimePoint now);

    /// Takes in how many connections another proxy says it may have open at most from now on.
    void heldBy(const InstanceName &other, std::uint32_t connections, TimePoint now);

    /// Connections that this proxy may have open now.
    [[nodiscard]] std::uint32_t allowed(TimePoint now) const;

    /// When a former holder's claim ends.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

private:
    struct Claim {
        InstanceName holder;
        std::uint32_t connections = 0;
        /// Set once the proxy is no longer a holder.
        std::optional<TimePoint> endsAt;
    };

    [[nodiscard]] Claim *claimOf(const InstanceName &holder) noexcept;

    InstanceName self_;
    std::uint32_t limit_;
    Milliseconds expiry_;
    /// This proxy's part by the current list.
    std::uint32_t target_ = 0;
    std::vector<InstanceName> holders_;
    /// What others may hold; never contains self_.
    std::vector<Claim> claims_;
};

} // namespace cardamomstep
