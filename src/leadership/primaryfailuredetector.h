// Judges from many proxies' sightings whether a group's primary must be replaced.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "leadership/record.h"

#include <map>
#include <optional>
#include <string_view>

namespace cardamomstep::leadership {

/// Settings of a Suspicion.
struct SuspicionLimits {
    /// Silence towards every proxy after which a primary counts as dead.
    Milliseconds silence{500};
    /// The same for a primary that was not registered since restart(): its address is not known, so its silence says little.
    Milliseconds unregisteredSilence{2500};
    /// Writes unanswered for this long, with the primary alive, mean that it cannot replicate.
    Milliseconds stall{1500};
    /// A sighting older than this says nothing.
    Milliseconds sightingAge{900};
    /// No second move for this reason within this time.
    Milliseconds stallCooldown{8000};
    /// A primary that says that it does not lead is believed after this time.
    Milliseconds denial{400};
};

/// Why a primary is to be replaced.
enum class MoveReason : std::uint8_t {
    Silent,
    Stalled, ///< It answers, but its writes are not acknowledged.
    Denied, ///< It says that it does not lead.
    Leaving,
    Resumed, ///< A move was begun by another holder and not finished.
};

[[nodiscard]] std::string_view toText(MoveReason reason) noexcept;

/// The sightings of one group's primary, as collected by the lease holder.
class Suspicion
{
public:
    explicit Suspicion(const SuspicionLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Forgets everything; a primary that begins to lead at \a now is given time to show itself.
    void restart(std::uint64_t generation, TimePoint now);

    /// Takes in what \a proxy has seen.
    void sight(const InstanceName &proxy, const PrimarySighting &sighting, TimePoint now);

    /// Takes in a probe of the holder's own: an answer, with the member's word on whether it leads.
    void probed(bool leads, TimePoint now);

    /// Takes in that the primary is registered.
    void registered() noexcept
    {
        registered_ = true;
    }

    /// Why the primary should be replaced, if it should.
    [[nodiscard]] std::optional<MoveReason> judge(TimePoint now) const;

private:
    struct Seen {
        TimePoint at;
        std::optional<TimePoint> answeredAt;
        std::optional<TimePoint> stalledSince;
    };

    SuspicionLimits limits_;
    std::uint64_t generation_ = 0;
    TimePoint since_;
    std::map<InstanceName, Seen> seen_;
    TimePoint lastAnswer_;
    /// The primary was registered at some time since restart().
    bool registered_ = false;
    std::optional<TimePoint> deniedSince_;
};

} // namespace cardamomstep::leadership
