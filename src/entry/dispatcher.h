// Routes a caller's statement to a proxy that owns its group.
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

/// The fleet and its configuration at one moment.
struct FleetSnapshot {
    std::shared_ptr<const Catalog> catalog;
    std::shared_ptr<const InstanceSet> instances;
    /// True while the configuration is loaded and fresh enough to serve statements.
    bool mayServe = false;
};

/// Routes statements to the owners of their groups; thread-safe.
class Dispatcher
{
public:
    /// Functions that give the dispatcher its data.
    struct Sources {
        /// Returns the current state of the fleet.
        std::function<FleetSnapshot()> fleet;
        /// Returns this process's owner of a group; null when this proxy does not own the group.
        std::function<std::shared_ptr<GroupOwner>(const GroupName &)> localOwner;
    };

    Dispatcher(LiveInstance self, Sources sources, peer::Client &peers, Transactions &transactions);

    /// Runs \a statement for a caller; returns its answer by \a deadline.
    [[nodiscard]] Answer run(Statement statement, TimePoint deadline);

    /// Runs \a statement that another proxy forwarded to this one; never forwards it again.
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
