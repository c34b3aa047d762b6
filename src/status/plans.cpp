// Determines which stop plans are due and how far each has progressed.
#include "status/plans.h"

#include "records/checks.h"
#include "records/record.h"

#include <algorithm>

namespace cardamomstep {

namespace {

bool isActive(const StopPlan &plan) noexcept
{
    return plan.state == PlanState::Active;
}

bool startTimeReached(const StopPlan &plan, WallTime now) noexcept
{
    return !plan.notBefore || *plan.notBefore <= now;
}

} // namespace

std::vector<EndpointPlan> endpointPlans(const Catalog &catalog, const GroupName &group, WallTime now)
{
    const auto leaving = leavingMembers(catalog, group);
    std::vector<EndpointPlan> plans;
    for (const auto &[key, entry] : catalog.entries()) {
        const auto *plan = std::get_if<StopPlan>(&entry.record->spec);
        if (plan == nullptr || !isActive(*plan)) {
            continue;
        }
        const auto *target = std::get_if<EndpointTarget>(&plan->target);
        if (target == nullptr || target->group != group) {
            continue;
        }
        const bool isLeaving = std::find(leaving.begin(), leaving.end(), target->member) != leaving.end();
        plans.push_back({key.name, group, target->member, entry.version, isLeaving && startTimeReached(*plan, now)});
    }
    return plans;
}

bool instancePlanDue(const Catalog &catalog, const InstanceName &instance, WallTime now)
{
    return std::any_of(catalog.entries().begin(), catalog.entries().end(), [&](const auto &item) {
        const auto *plan = std::get_if<StopPlan>(&item.second.record->spec);
        const auto *target = plan == nullptr ? nullptr : std::get_if<InstanceTarget>(&plan->target);
        return target != nullptr && target->instance == instance && isActive(*plan) && startTimeReached(*plan, now);
    });
}

PlanProgress planProgress(const PlanObservation &observation) noexcept
{
    if (!observation.due) {
        return PlanProgress::Waiting;
    }
    return observation.isPrimary || !observation.drained ? PlanProgress::Draining : PlanProgress::Done;
}

std::string_view planDetail(const PlanObservation &observation) noexcept
{
    if (!observation.due) {
        return "its time has not come, or another plan of the group goes first";
    }
    if (observation.isPrimary) {
        return "another member is being made primary";
    }
    return observation.drained ? "the member may be stopped" : "statements in flight finish";
}

} // namespace cardamomstep
