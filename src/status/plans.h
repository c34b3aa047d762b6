// Stop plans: which of them are due, and how far each has progressed.
#pragma once

#include "base/ids.h"
#include "records/catalog.h"
#include "records/status.h"
#include "status/fwd.h"

#include <optional>
#include <vector>

namespace cardamomstep {

/// An active stop plan for a member of a group, which may be due or not.
struct EndpointPlan {
    RecordName plan;
    GroupName group;
    MemberName member;
    /// Store version of the plan.
    std::uint64_t version = 0;
    /// True when the member must get no new work; false while the plan's start time has not come or other plans have precedence.
    bool due = false;

    [[nodiscard]] bool operator==(const EndpointPlan &) const = default;
};

/// Returns the active plans for members of \a group at \a now, sorted by the plan's name.
[[nodiscard]] std::vector<EndpointPlan> endpointPlans(const Catalog &catalog, const GroupName &group, WallTime now);

/// Returns true when an active plan that is due stops the proxy \a instance.
[[nodiscard]] bool instancePlanDue(const Catalog &catalog, const InstanceName &instance, WallTime now);

/// What the first owner of a group observes of a plan's member.
struct PlanObservation {
    bool due = false;
    /// The member is the primary of its group.
    bool isPrimary = false;
    /// All owners of the group replied, have the plan in force, and none has a statement or a transaction at the member.
    bool drained = false;
};

/// Returns how far a plan has progressed according to \a observation.
[[nodiscard]] PlanProgress planProgress(const PlanObservation &observation) noexcept;

/// Returns a short description of the progress according to \a observation.
[[nodiscard]] std::string_view planDetail(const PlanObservation &observation) noexcept;

} // namespace cardamomstep
