// What proxies tell each other, as plain values apart from gRPC.
#pragma once

#include "base/ids.h"
#include "base/mark.h"
#include "base/time.h"
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

/// One stored object of the configuration.
struct Object {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    std::string value;
    bool deleted = false;

    [[nodiscard]] bool operator==(const Object &) const = default;
};

/// Configuration on its way to a peer.
struct Objects {
    InstanceName from;
    /// Store revision that the sender has in force.
    std::uint64_t revision = 0;
    std::vector<Object> objects;
    /// True when these are all objects that there are.
    bool complete = false;
};

/// A short description of what a proxy has.
struct Digest {
    InstanceName from;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
};

/// What a proxy knows of one member of a group.
struct MemberSighting {
    MemberName member;
    /// Time since the last sign of life; nothing when there was none.
    std::optional<Microseconds> age;
    Term adopted;
    Mark log;
    bool primary = false;
    bool leaving = false;
};

/// What a proxy knows of the members of a group.
struct Sighting {
    InstanceName from;
    GroupName group;
    std::vector<MemberSighting> members;
};

} // namespace cardamomstep::peer
