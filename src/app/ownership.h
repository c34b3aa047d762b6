// Keeps a GroupOwner for each database group that falls to this proxy.
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

    /// Begins, changes and ends owners as \a view says; ended ones finish their statements.
    void reconcile(const entry::FleetSnapshot &fleet);

    /// Takes in the members that the platform's list says are leaving.
    void setListedLeaving(std::vector<MemberName> leaving);

    /// The owner of \a group; null when this proxy does not own it.
    ///
    /// An owner that was given up is still found for a while: other proxies learn of the change with some delay, and open
    /// transactions stay where they are.
    [[nodiscard]] std::shared_ptr<GroupOwner> find(const GroupName &group) const;

    /// Looks at the plans again, since their time may have come, and ends owners that were given up long enough ago.
    void refresh();

    /// The groups where this proxy is the first owner.
    [[nodiscard]] std::vector<GroupName> groupsOwnedAsFirst() const;

    /// The plans for members of groups where this proxy is the first owner.
    [[nodiscard]] std::vector<DuePlan> plansToMonitor() const;

    /// All owned groups, sorted by name.
    [[nodiscard]] std::vector<std::shared_ptr<GroupOwner>> all() const;

    /// The other owners of \a group.
    [[nodiscard]] std::vector<LiveInstance> otherOwners(const GroupName &group) const;

    /// Gives all groups up.
    void clear();

private:
    struct Owned {
        std::shared_ptr<GroupOwner> owner;
        std::vector<LiveInstance> owners;
        /// The configuration that the owner was made for.
        DatabaseGroup record;
        std::vector<DuePlan> plans;
    };

    /// An owner that was given up.
    struct Retired {
        std::shared_ptr<GroupOwner> owner;
        TimePoint since;
    };

    [[nodiscard]] std::shared_ptr<GroupOwner> makeOwner(const entry::FleetSnapshot &fleet,
                                                        const GroupName &name,
                                                        const DatabaseGroup &record,
                                                        const std::vector<LiveInstance> &owners,
                                                        unsigned rank);
    [[nodiscard]] GroupPolicy policyFor(std::size_t groups) const;
    void publishLeaving();

    const Settings &settings_;
    LiveInstance self_;
    GroupOwnerHandlers handlers_;
    Transactions &transactions_;
    std::uint64_t seed_;
    mutable std::mutex mutex_;
    /// Guarded by mutex_.
    std::map<GroupName, Owned> owned_;
    std::map<GroupName, Retired> retired_;
    std::vector<MemberName> listedLeaving_;
    std::shared_ptr<const Catalog> catalog_ = Catalog::empty();
};

} // namespace cardamomstep
