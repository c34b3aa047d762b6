// Keeps a GroupOwner for each database group that falls to this proxy.
#pragma once

#include "app/fwd.h"
#include "entry/dispatcher.h"
#include "owner/groupowner.h"
#include "owner/transactions.h"
#include "peer/client.h"
#include "settings/settings.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace cardamomstep {

/// The groups that this proxy owns; safe for use by many threads.
class Ownership
{
public:
    Ownership(const Settings &settings, LiveInstance self, GroupEvents events, Transactions &transactions, std::uint64_t seed);

    /// Begins, changes and ends owners as \a view says; ended ones finish their statements.
    void reconcile(const entry::FleetView &view);

    /// Takes in the members that the platform's list says are leaving.
    void setListedLeaving(std::vector<MemberName> leaving);

    /// The owner of \a group; null when this proxy does not own it.
    [[nodiscard]] std::shared_ptr<GroupOwner> find(const GroupName &group) const;

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
    };

    [[nodiscard]] std::shared_ptr<GroupOwner> makeOwner(const entry::FleetView &view,
                                                        const GroupName &name,
                                                        const DatabaseGroup &record,
                                                        const std::vector<LiveInstance> &owners,
                                                        unsigned rank);
    [[nodiscard]] GroupPolicy policyFor(std::size_t groups) const;
    void tellLeaving(const Catalog &catalog);

    const Settings &settings_;
    LiveInstance self_;
    GroupEvents events_;
    Transactions &transactions_;
    std::uint64_t seed_;
    mutable std::mutex mutex_;
    /// Guarded by mutex_.
    std::map<GroupName, Owned> owned_;
    std::vector<MemberName> listedLeaving_;
    std::shared_ptr<const Catalog> catalog_ = Catalog::empty();
};

} // namespace cardamomstep
