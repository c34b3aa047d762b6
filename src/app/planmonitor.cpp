// Monitors stop plans of members: replaces leaving primaries and publishes when a member is drained.
#include "app/planmonitor.h"

#include "logging/log.h"

#include <algorithm>

namespace cardamomstep {

PlanMonitor::PlanMonitor(const Ownership &ownership,
                         const Transactions &transactions,
                         const ObservationExchange &observations,
                         StatusWriter &status)
    : ownership_(ownership)
    , transactions_(transactions)
    , observations_(observations)
    , status_(status)
{
}

void PlanMonitor::check()
{
    replaceLeavingPrimaries();
    for (const auto &plan : ownership_.plansToMonitor()) {
        checkPlan(plan);
    }
}

void PlanMonitor::replaceLeavingPrimaries()
{
    for (const auto &group : ownership_.groupsOwnedAsFirst()) {
        const auto owner = ownership_.find(group);
        if (!owner || !owner->leavingPrimary() || transactions_.countOf(group) > 0) {
            continue;
        }
        const auto others = ownership_.otherOwners(group);
        // An owner that does not reply counts as having no transactions here, but as busy in isDrained().
        const bool hasNoTransactions = std::none_of(others.begin(), others.end(), [&](const auto &other) {
            const auto observed = observations_.query(other, *owner, group);
            return observed && observed->openTransactions > 0;
        });
        if (hasNoTransactions) {
            owner->replaceLeavingPrimary();
        }
    }
}

void PlanMonitor::checkPlan(const EndpointPlan &plan)
{
    const auto owner = ownership_.find(plan.group);
    if (!owner) {
        return;
    }
    const auto primary = owner->snapshot().primary;
    PlanObservation observation;
    observation.due = plan.due;
    observation.isPrimary = primary && primary->member == plan.member;
    observation.drained = plan.due && !observation.isPrimary && isDrained(plan, *owner);
    const auto progress = planProgress(observation);
    const auto published = lastPublished_.find(plan.plan);
    if (published != lastPublished_.end() && published->second == std::pair{plan.version, progress}) {
        return;
    }
    lastPublished_[plan.plan] = {plan.version, progress};
    status_.onPlan(plan.plan, progress, planDetail(observation));
    logEvent(LogLevel::Info, "plan-progress", {{"plan", plan.plan.text()}, {"detail", planDetail(observation)}});
}

bool PlanMonitor::isDrained(const EndpointPlan &plan, const GroupOwner &owner) const
{
    const auto isBusy = [&plan](const std::vector<MemberName> &members) {
        return std::find(members.begin(), members.end(), plan.member) != members.end();
    };
    if (isBusy(owner.busyMembers())) {
        return false;
    }
    const auto others = ownership_.otherOwners(plan.group);
    return std::all_of(others.begin(), others.end(), [&](const auto &other) {
        const auto observed = observations_.query(other, owner, plan.group);
        return observed && observed->revision.value >= plan.version && !isBusy(observed->busyMembers);
    });
}

} // namespace cardamomstep
