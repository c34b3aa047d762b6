// Stop plans: which of them are due, and how far one has come.
#pragma once

#include "base/ids.h"
#include "records/catalog.h"
#include "records/status.h"
#include "status/fwd.h"

#include <optional>
#include <vector>

namespace cardamomstep {

/// An active plan for a member of a group.
struct DuePlan {
    RecordName plan;
    GroupName group;
    MemberName member;
    /// Store version of the plan.
    std::uint64_t version = 0;
    /// True when the member is to get no new work from now on; false when the plan's time has not come or others go first.
    bool due = false;

    [[nodiscard]] bool operator==(const DuePlan &) const = default;
};

/// The active plans for members of \a group at \a now, sorted by name.
[[nodiscard]] std::vector<DuePlan> endpointPlans(const Catalog &catalog, const GroupName &group, WallTime now);

/// True when an active plan that is due tells \a instance, a proxy, to stop.
[[nodiscard]] bool instancePlanDue(const Catalog &catalog, const InstanceName &instance, WallTime now);

/// What the first owner of a group sees of a plan's member.
struct PlanObservation {
    bool due = false;
    /// The member leads its group.
    bool isPrimary = false;
    /// All owners of the group answered, have the plan in force, and none has a statement or a transaction at the member.
    bool drained = false;
};

/// How far a plan has come, as \a sight shows it.
[[nodiscard]] PlanProgress planProgress(const PlanObservation &observation) noexcept;

/// One sentence that explains \a progress.
[[nodiscard]] std::string_view planDetail(const PlanObservation &observation) noexcept;

} // namespace cardamomstep
