// Takes a caller's statement to the proxy that owns its group.
#pragma once

#include "base/result.h"
#include "entry/fwd.h"
#include "membership/rendezvous.h"
#include "owner/groupowner.h"
#include "owner/transactions.h"
#include "peer/client.h"
#include "records/catalog.h"
#include "statements/statement.h"

#include <functional>
#include <memory>

namespace cardamomstep::entry {

/// What the dispatcher sees of the fleet and its configuration at one moment.
struct FleetSnapshot {
    std::shared_ptr<const Catalog> catalog;
    std::shared_ptr<const InstanceSet> instances;
    /// True once the configuration is known.
    bool mayServe = false;
};

/// Routes statements; safe for use by many threads.
class Dispatcher
{
public:
    /// Where the dispatcher takes its knowledge from.
    struct Sources {
        /// The fleet now.
        std::function<FleetSnapshot()> fleet;
        /// The owner of a group in this process; null when it does not own the group.
        std::function<std::shared_ptr<GroupOwner>(const GroupName &)> localOwner;
    };

    Dispatcher(LiveInstance self, Sources sources, peer::Client &peers, Transactions &transactions);

    /// Runs \a statement for a caller and answers by \a deadline.
    [[nodiscard]] Answer run(Statement statement, TimePoint deadline);

    /// Runs \a statement that another proxy sent here.
    [[nodiscard]] Answer runForwarded(const Statement &statement, TimePoint deadline);

private:
    [[nodiscard]] Answer runInTransaction(const Statement &statement, const FleetSnapshot &fleet, TimePoint deadline);
    [[nodiscard]] Answer runAtOwners(const Statement &statement, const FleetSnapshot &fleet, TimePoint deadline);
    [[nodiscard]] Answer runLocally(const Statement &statement, TimePoint deadline);
    [[nodiscard]] std::vector<const LiveInstance *> ownersByProximity(const FleetSnapshot &fleet, const GroupName &group) const;
    [[nodiscard]] Result<GroupName> groupOf(const Statement &statement, const FleetSnapshot &fleet) const;

    LiveInstance self_;
    Sources sources_;
    peer::Client &peers_;
    Transactions &transactions_;
};

} // namespace cardamomstep::entry
