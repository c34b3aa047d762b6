// The configuration of a group's owner and the handlers that it calls.
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

/// The configuration of one group and of this proxy's ownership of it.
struct GroupOwnerOptions {
    GroupName group;
    std::vector<GroupMember> members;
    /// The number of statements that each member runs at once.
    std::uint32_t slots = 1;
    /// The maximum number of connections to each member, over all proxies.
    std::uint32_t maxConnections = 1;
    /// The guaranteed shares of the services that use this group.
    std::vector<ServiceShare> shares;
    ConnectionIdentity identity;
    GroupPolicy policy;
    /// The rank of this proxy among the group's owners; rank 0 acts first.
    unsigned rank = 0;
    /// All owners of the group, this one included.
    std::vector<InstanceName> owners;
    /// The seed of random numbers; must differ between processes and between their starts.
    std::uint64_t seed = 1;
    /// The file that records the monitor's inputs and actions; empty records nothing.
    std::string traceFile;
};

/// Callbacks of a group's owner. They are called with the group's lock held, so they must not block or call the owner.
struct GroupOwnerHandlers {
    std::function<void(const GroupName &, const PrimaryChanged &)> primaryChanged;
    std::function<void(const GroupName &, const AuditEvent &)> auditEvent;
    /// Query the group's other owners for their observations.
    std::function<void(const GroupName &)> queryPeers;
    /// Have the other owners pause writes for this long; zero resumes them.
    std::function<void(const GroupName &, Milliseconds)> pausePeerWrites;
};

} // namespace cardamomstep
