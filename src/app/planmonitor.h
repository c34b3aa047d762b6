// Monitors stop plans of members: replaces leaving primaries and publishes when a member is drained.
#pragma once

#include "app/observationexchange.h"
#include "app/ownership.h"
#include "app/statuswriter.h"
#include "owner/transactions.h"

#include <cstdint>
#include <map>
#include <utility>

namespace cardamomstep {

/// Monitors the stop plans of the groups where this proxy is the first owner; used by one thread.
class PlanMonitor
{
public:
    PlanMonitor(const Ownership &ownership,
                const Transactions &transactions,
                const ObservationExchange &observations,
                StatusWriter &status);

    /// Replaces leaving primaries where possible, and publishes the progress of each plan that has changed.
    void check();

private:
    void replaceLeavingPrimaries();
    void checkPlan(const EndpointPlan &plan);
    /// Returns true if no owner has work at the plan's member and all owners have the plan in force.
    [[nodiscard]] bool isDrained(const EndpointPlan &plan, const GroupOwner &owner) const;

    const Ownership &ownership_;
    const Transactions &transactions_;
    const ObservationExchange &observations_;
    StatusWriter &status_;
    /// Version of each plan and its progress, as last published.
    std::map<RecordName, std::pair<std::uint64_t, PlanProgress>> lastPublished_;
};

} // namespace cardamomstep
