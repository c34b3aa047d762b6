// Follows stop plans of members: moves their leadership away and tells when they are quiet.
#pragma once

#include "app/observationexchange.h"
#include "app/ownership.h"
#include "app/statuswriter.h"
#include "owner/transactions.h"

#include <cstdint>
#include <map>
#include <utility>

namespace cardamomstep {

/// Follows the stop plans of the groups that this proxy owns; used by one thread.
class PlanWatch
{
public:
    PlanWatch(const Ownership &ownership, const Transactions &transactions, const PeerSightings &sightings, StatusWriter &status);

    /// Looks at everything once.
    void look();

private:
    void moveLeavingPrimaries();
    void watch(const DuePlan &plan);
    [[nodiscard]] bool isQuiet(const DuePlan &plan, const GroupOwner &owner) const;

    const Ownership &ownership_;
    const Transactions &transactions_;
    const PeerSightings &sightings_;
    StatusWriter &status_;
    /// The version of each plan and the progress that was last told of it.
    std::map<RecordName, std::pair<std::uint64_t, PlanProgress>> told_;
};

} // namespace cardamomstep
