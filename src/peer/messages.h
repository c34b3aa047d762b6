// Messages between proxies, as plain values independent of gRPC.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "configuration/gossip.h"
#include "groups/peerobservation.h"
#include "membership/view.h"
#include "peer/fwd.h"

#include <optional>
#include <vector>

namespace cardamomstep::peer {

/// A liveness probe or the reply to one.
struct Ping {
    MembershipMessage message;
    /// In a request: the address to ping on behalf of the sender, whose reply is returned; empty for a direct ping.
    Address target;
    /// In a reply: false if the target did not reply.
    bool answered = true;
};

/// What an owner of a group observes of the group's primary, and whether the receiver should pause writes.
struct GroupObservation {
    InstanceName from;
    GroupName group;
    PeerObservation observation;
    /// Pause writes for this long; zero resumes them; nothing leaves them as they are.
    std::optional<Milliseconds> writePause;
    /// Members at which the sender has statements or transactions.
    std::vector<MemberName> busyMembers;
    /// Configuration revision in force at the sender.
    Revision revision;
    /// Transactions of the group that are open at the sender.
    std::uint32_t openTransactions = 0;
};

} // namespace cardamomstep::peer
