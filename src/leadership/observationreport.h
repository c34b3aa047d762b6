// Chooses the observations of primaries that a renewal reports, without repeating what the receiver knows.
#pragma once

#include "leadership/record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cardamomstep::leadership {

/// What one proxy reports to the proxy at which it renews. Time is passed in.
///
/// The receiver keeps the highest acknowledged positions as long as its process runs, and as the lease holder the time of each primary's
/// last reply. Both are left out while they are unchanged since a report to the same process was confirmed by its reply. Stalled writes
/// are evaluated by the age of their report, so these are always repeated.
class ObservationReport
{
public:
    /// Returns those of \a observations that are due in a request to \a receiver at \a now.
    ///
    /// Only the lease holder evaluates when primaries replied and whether writes stall; others get acknowledged positions.
    [[nodiscard]] std::vector<PrimaryObservation>
    due(const std::vector<PrimaryObservation> &observations, const InstanceName &receiver, bool isLeaseHolder, TimePoint now);

    /// Records the reply of \a process to the last request. Returns false if the receiver is another process than the one to which
    /// earlier reports went, so that it lacks what was left out and the next request is urgent.
    [[nodiscard]] bool onReply(std::uint64_t process);

private:
    struct Reported {
        std::uint64_t generation = 0;
        LogPosition acknowledged;
        std::optional<TimePoint> repliedAt;
        bool stalled = false;
    };

    InstanceName receiver_;
    std::uint64_t process_ = 0;
    /// What the receiver's process confirmed.
    std::map<GroupName, Reported> confirmed_;
    /// What the request in flight reports.
    std::map<GroupName, Reported> sent_;
    bool leftOut_ = false;
};

} // namespace cardamomstep::leadership
