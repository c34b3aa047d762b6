// What proxies tell each other, as plain values apart from gRPC.
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

/// A liveness probe or its answer.
struct Ping {
    MembershipMessage message;
    /// In a request: probe this address on behalf of the sender and pass its answer on.
    Address target;
    /// In an answer: false when the target did not answer.
    bool answered = true;
};

/// What a proxy knows of a group's primary, and whether writes to it are to be held.
struct Sighting {
    InstanceName from;
    GroupName group;
    PeerSighting seen;
    /// Hold writes for this long; zero releases them; absent says nothing about it.
    std::optional<Milliseconds> hold;
    /// Members at which the sender has statements or transactions.
    std::vector<MemberName> busy;
    /// Configuration revision in force at the sender.
    Revision revision;
    /// Transactions of the group that are open at the sender.
    std::uint32_t transactions = 0;
};

} // namespace cardamomstep::peer
