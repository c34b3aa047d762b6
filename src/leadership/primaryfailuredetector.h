// Decides from the observations of all proxies whether a group's primary must be replaced.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "leadership/record.h"

#include <map>
#include <optional>
#include <string_view>

namespace cardamomstep::leadership {

/// Settings of a primary failure detector.
struct PrimaryFailureDetectorLimits {
    /// Time without a reply to any proxy after which a primary counts as failed.
    Milliseconds silenceTimeout{500};
    /// The same for a primary that was not registered since restart(): its address is not known, so missing replies prove little.
    Milliseconds unregisteredSilenceTimeout{2500};
    /// Time that writes are without a reply, while the primary replies otherwise, after which it counts as unable to replicate.
    Milliseconds stallTimeout{1500};
    /// Age above which an observation is ignored when stalled writes are evaluated.
    Milliseconds maxObservationAge{900};
    /// Time after a primary change in which stalled writes cause no further one.
    Milliseconds stallCooldown{8000};
    /// Time that a primary must report that it does not lead before it is replaced.
    Milliseconds notLeadingTimeout{400};
};

/// Why a primary is to be replaced.
enum class PrimaryChangeReason : std::uint8_t {
    Silent, ///< It replies to no proxy.
    Stalled, ///< It replies, but its writes are not acknowledged.
    NotLeading, ///< It reports that it does not lead.
    Leaving, ///< It is draining.
    Resumed, ///< Another lease holder started a change and did not finish it.
    Unverified, ///< The store lost the newest record, so it is unknown which member leads.
};

[[nodiscard]] std::string_view toText(PrimaryChangeReason reason) noexcept;

/// The observations of one group's primary, as collected by the lease holder.
class PrimaryFailureDetector
{
public:
    explicit PrimaryFailureDetector(const PrimaryFailureDetectorLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Discards all observations; the timeouts of the primary of \a generation count from \a now.
    void restart(std::uint64_t generation, TimePoint now);

    /// Records what \a proxy observed; an observation of another generation is ignored.
    void recordObservation(const InstanceName &proxy, const PrimaryObservation &observation, TimePoint now);

    /// Records a reply to the lease holder's own probe; \a leads is whether the member reports that it leads.
    void onProbeReply(bool leads, TimePoint now);

    /// Records that the primary is registered.
    void onRegistered() noexcept
    {
        registered_ = true;
    }

    /// Returns why the primary should be replaced, if it should.
    [[nodiscard]] std::optional<PrimaryChangeReason> evaluate(TimePoint now) const;

private:
    struct Observation {
        TimePoint at;
        std::optional<TimePoint> repliedAt;
        std::optional<TimePoint> stalledSince;
    };

    PrimaryFailureDetectorLimits limits_;
    std::uint64_t generation_ = 0;
    TimePoint startedAt_;
    std::map<InstanceName, Observation> observations_;
    TimePoint lastReplyAt_;
    /// True when the primary was registered at some time since restart().
    bool registered_ = false;
    std::optional<TimePoint> notLeadingSince_;
};

} // namespace cardamomstep::leadership
