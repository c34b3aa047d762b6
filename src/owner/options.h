// What the owner of a group is told, and whom it tells.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "groups/action.h"
#include "groups/member.h"
#include "groups/policy.h"
#include "members/httpconnection.h"
#include "owner/fwd.h"
#include "requests/admission.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cardamomstep {

/// The configuration of one group, as its owner needs it.
struct GroupOwnerOptions {
    GroupName group;
    std::vector<GroupMember> members;
    /// Statements that each member runs at once.
    std::uint32_t slots = 1;
    /// Most connections to each member, over all proxies.
    std::uint32_t connections = 1;
    /// Guaranteed parts of the services that use this group.
    std::vector<ServiceShare> shares;
    LinkIdentity identity;
    GroupPolicy policy;
    /// Place of this proxy among the group's owners; 0 acts first.
    unsigned rank = 0;
    /// All owners of the group, this one included.
    std::vector<InstanceName> holders;
    /// Differs between processes and starts.
    std::uint64_t seed = 1;
    /// Where to record the monitor's inputs and actions; nothing is recorded when empty.
    std::string traceFile;
};

/// What an owner tells the rest of the process; called with the group's lock held, so they must not call back or block.
struct GroupEvents {
    std::function<void(const GroupName &, const PrimaryChanged &)> primaryChanged;
    std::function<void(const GroupName &, const Note &)> note;
    /// The group's other owners should be asked for their sightings.
    std::function<void(const GroupName &)> askPeers;
    /// Other owners should hold writes for this long; zero releases them.
    std::function<void(const GroupName &, Milliseconds)> holdPeers;
};

} // namespace cardamomstep
