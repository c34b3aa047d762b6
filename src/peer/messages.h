// What proxies tell each other, as plain values apart from gRPC.
#pragma once

#include "base/ids.h"
#include "base/mark.h"
#include "base/time.h"
#include "configuration/state.h"
#include "groups/sighting.h"
#include "peer/fwd.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstep::peer {

/// Liveness of an instance, as told between proxies.
enum class EntryState : std::uint8_t {
    Live,
    Suspect,
    Dead,
    Leaving,
};

/// One instance of the fleet.
struct MemberEntry {
    InstanceName name;
    FailureDomain domain;
    Address address;
    std::uint64_t incarnation = 0;
    EntryState state = EntryState::Live;
    /// Highest configuration revision in force there.
    std::uint64_t revision = 0;
    /// Record forms that it reads, for example "DatabaseGroup/v2".
    std::vector<std::string> forms;

    [[nodiscard]] bool operator==(const MemberEntry &) const = default;
};

/// A liveness probe with membership updates.
struct Ping {
    InstanceName from;
    std::vector<MemberEntry> updates;
    /// When set, the receiver probes this instance on behalf of the sender.
    InstanceName target;
};

/// The answer to a Ping.
struct Pong {
    bool acknowledged = false;
    std::vector<MemberEntry> updates;
};

/// Changes of the configuration on their way to a peer.
struct Objects {
    InstanceName from;
    ConfigurationDelta delta;
};

/// What the sender has of the configuration.
struct Digest {
    InstanceName from;
    ConfigurationDigest digest;
};

/// What a proxy knows of a group's primary, and whether writes to it are to be held.
struct Sighting {
    InstanceName from;
    GroupName group;
    PeerSighting seen;
    /// Hold writes for this long; zero releases them; absent says nothing about it.
    std::optional<Milliseconds> hold;
};

} // namespace cardamomstep::peer
