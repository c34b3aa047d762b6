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
/// Nobody grants a share. Each holder works it out from the list of owners and leaves untouched what any other proxy may still
/// hold: its part by the current list, and, until that proxy says that it holds less or the expiry time has passed, its
/// part by earlier lists and what it last said to hold.
/// The sum of all holdings stays within the limit while every proxy that is or was a holder hears of each list, and has
/// closed what is beyond its new part, within the expiry time. Where that does not hold, for example for a holder that
/// started a moment ago and never saw the earlier list, the member's own limit is the last guard: it refuses the connection, and the pool
/// waits.
class ConnectionShare
{
public:
    ConnectionShare(InstanceName self, std::uint32_t limit, Milliseconds expiry);

    /// Takes in the current owners of the group.
    void setHolders(const std::vector<InstanceName> &holders, TimePoint now);

    /// What to tell the other holders, given the connections that are open: the most that may be open until another list arrives.
    [[nodiscard]] std::uint32_t mayHold(std::uint32_t open) const noexcept
    {
        return open < target_ ? target_ : open;
    }

    /// Takes in what another proxy's mayHold() says.
    void heldBy(const InstanceName &other, std::uint32_t connections, TimePoint now);

    /// Connections that this proxy may have open now.
    [[nodiscard]] std::uint32_t allowed(TimePoint now) const;

    /// When the first earlier claim expires.
    [[nodiscard]] std::optional<TimePoint> nextWake(TimePoint now) const noexcept;

private:
    struct Claim {
        InstanceName holder;
        /// Part by the current list; 0 for a former holder.
        std::uint32_t part = 0;
        /// What it may hold from earlier, until `earlierUntil`.
        std::uint32_t earlier = 0;
        TimePoint earlierUntil;
    };

    [[nodiscard]] Claim &claimOf(const InstanceName &holder);
    void dropExpired(TimePoint now);

    InstanceName self_;
    std::uint32_t limit_;
    Milliseconds expiry_;
    /// This proxy's part by the current list.
    std::uint32_t target_ = 0;
    /// What others may hold; never contains self_.
    std::vector<Claim> claims_;
};

} // namespace cardamomstep
