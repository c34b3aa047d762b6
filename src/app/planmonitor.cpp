// Decides for each due plan how far it has come.
#include "app/planmonitor.h"

#include "logging/log.h"

#include <algorithm>

namespace cardamomstep {

PlanWatch::PlanWatch(const Ownership &ownership, const Transactions &transactions, const PeerSightings &sightings, StatusWriter &status)
    : ownership_(ownership)
    , transactions_(transactions)
    , sightings_(sightings)
    , status_(status)
{
}

void PlanWatch::look()
{
    moveLeavingPrimaries();
    for (const auto &plan : ownership_.plansToWatch()) {
        watch(plan);
    }
}

void PlanWatch::moveLeavingPrimaries()
{
    for (const auto &group : ownership_.firstOwned()) {
        const auto owner = ownership_.find(group);
        if (!owner || !owner->leavingPrimary() || transactions_.countOf(group) > 0) {
            continue;
        }
        const auto others = ownership_.otherOwners(group);
        const bool free = std::none_of(others.begin(), others.end(), [&](const auto &other) {
            const auto seen = sightings_.ask(other, *owner, group);
            return seen && seen->transactions > 0;
        });
        if (free) {
            owner->moveLeavingPrimary();
        }
    }
}

void PlanWatch::watch(const DuePlan &plan)
{
    const auto owner = ownership_.find(plan.group);
    if (!owner) {
        return;
    }
    const auto primary = owner->snapshot().primary;
    PlanSight sight;
    sight.due = plan.due;
    sight.leads = primary && primary->member == plan.member;
    sight.quiet = plan.due && !sight.leads && isQuiet(plan, *owner);
    const auto progress = planProgress(sight);
    const auto known = told_.find(plan.plan);
    if (known != told_.end() && known->second == std::pair{plan.version, progress}) {
        return;
    }
    told_[plan.plan] = {plan.version, progress};
    status_.onPlan(plan.plan, progress, planDetail(sight));
    logEvent(LogLevel::Info, "plan-progress", {{"plan", plan.plan.text()}, {"detail", planDetail(sight)}});
}

/// True when no owner has work at the plan's member, and all know of the plan.
bool PlanWatch::isQuiet(const DuePlan &plan, const GroupOwner &owner) const
{
    const auto isBusy = [&plan](const std::vector<MemberName> &busy) {
        return std::find(busy.begin(), busy.end(), plan.member) != busy.end();
    };
    if (isBusy(owner.busyMembers())) {
        return false;
    }
    const auto others = ownership_.otherOwners(plan.group);
    return std::all_of(others.begin(), others.end(), [&](const auto &other) {
        const auto seen = sightings_.ask(other, owner, plan.group);
        return seen && seen->revision.value >= plan.version && !isBusy(seen->busy);
    });
}

} // namespace cardamomstep
