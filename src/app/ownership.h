// Maintains a GroupOwner for each database group that is assigned to this proxy.
#pragma once

#include "app/fwd.h"
#include "entry/dispatcher.h"
#include "owner/groupowner.h"
#include "owner/transactions.h"
#include "peer/client.h"
#include "settings/settings.h"
#include "status/plans.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace cardamomstep {

/// The groups that this proxy owns; safe for use by many threads.
class Ownership
{
public:
    Ownership(const Settings &settings, LiveInstance self, GroupOwnerHandlers handlers, Transactions &transactions, std::uint64_t seed);

    /// Creates, updates and retires owners to match \a fleet.
    ///
    /// A group whose record changed gets a new owner. Retired owners finish their statements and transactions, see find().
    void reconcile(const entry::FleetSnapshot &fleet);

    /// Sets the members that are leaving according to the platform's instance list.
    void setListedLeaving(std::vector<MemberName> leaving);

    /// Returns the owner of \a group; null if this proxy does not own it.
    ///
    /// A retired owner is still returned for a while: other proxies learn of the change with some delay, and open transactions
    /// stay at the proxy that began them.
    [[nodiscard]] std::shared_ptr<GroupOwner> find(const GroupName &group) const;

    /// Re-evaluates the stop plans, which become due with time, and destroys owners that were retired long enough ago and whose
    /// group has no open transactions.
    void refresh();

    /// Returns the groups where this proxy is the first owner (rank 0).
    [[nodiscard]] std::vector<GroupName> groupsOwnedAsFirst() const;

    /// Returns the active stop plans, due or not, for members of groups where this proxy is the first owner.
    [[nodiscard]] std::vector<EndpointPlan> plansToMonitor() const;

    /// Returns the owners of all owned groups, sorted by group name.
    [[nodiscard]] std::vector<std::shared_ptr<GroupOwner>> all() const;

    /// Returns the other proxies that own \a group; empty if this proxy does not own it.
    [[nodiscard]] std::vector<LiveInstance> otherOwners(const GroupName &group) const;

    /// Releases all groups and destroys their owners, retired ones included.
    void clear();

private:
    struct Owned {
        std::shared_ptr<GroupOwner> owner;
        /// The live proxies that own the group, this one included, in order of rank.
        std::vector<LiveInstance> owners;
        /// The group record that the owner was created from.
        DatabaseGroup record;
        /// The active stop plans for members of the group.
        std::vector<EndpointPlan> plans;
    };

    /// An owner of a group that this proxy no longer owns, or whose record changed.
    struct Retired {
        std::shared_ptr<GroupOwner> owner;
        TimePoint retiredAt;
    };

    [[nodiscard]] std::shared_ptr<GroupOwner> makeOwner(const entry::FleetSnapshot &fleet,
                                                        const GroupName &name,
                                                        const DatabaseGroup &record,
                                                        const std::vector<LiveInstance> &owners,
                                                        unsigned rank);
    [[nodiscard]] GroupPolicy policyFor(std::size_t groups) const;
    /// Re-evaluates the stop plans, and passes the members that are leaving by plan or by the instance list to the owners.
    void updateLeaving();

    const Settings &settings_;
    LiveInstance self_;
    GroupOwnerHandlers handlers_;
    Transactions &transactions_;
    std::uint64_t seed_;
    mutable std::mutex mutex_;
    /// Guarded by mutex_, like all members below.
    std::map<GroupName, Owned> owned_;
    std::map<GroupName, Retired> retired_;
    std::vector<MemberName> listedLeaving_;
    std::shared_ptr<const Catalog> catalog_ = Catalog::empty();
};

} // namespace cardamomstep
