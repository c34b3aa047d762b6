// Sends and answers sightings of groups.
#include "app/observationexchange.h"

#include <utility>
#include <variant>

namespace cardamomstep {

namespace {

constexpr Milliseconds peerTimeout{200};

} // namespace

PeerSightings::PeerSightings(const InstanceName &self,
                             const Ownership &ownership,
                             const ConfigurationService &configuration,
                             const Transactions &transactions,
                             peer::Client &peers,
                             AddTask addTask)
    : self_(self)
    , ownership_(ownership)
    , configuration_(configuration)
    , transactions_(transactions)
    , peers_(peers)
    , addTask_(std::move(addTask))
{
}

void PeerSightings::tell(const GroupName &group, std::optional<Milliseconds> hold)
{
    const auto owner = ownership_.find(group);
    if (!owner) {
        return;
    }
    for (const auto &other : ownership_.otherOwners(group)) {
        addTask_([this, owner, group, other, hold] {
            auto told = sightingOf(*owner, group);
            told.hold = hold;
            const auto result = peers_.sight(other.address, told, peerTimeout);
            const auto *seen = std::get_if<peer::Sighting>(&result);
            if (seen != nullptr && !seen->from.empty()) {
                owner->onPeerSighting(seen->from, seen->seen);
            }
        });
    }
}

peer::Sighting PeerSightings::sighted(const peer::Sighting &seen)
{
    const auto owner = ownership_.find(seen.group);
    if (!owner) {
        return {};
    }
    if (seen.hold) {
        owner->hold(*seen.hold);
    }
    owner->onPeerSighting(seen.from, seen.seen);
    return sightingOf(*owner, seen.group);
}

std::optional<peer::Sighting> PeerSightings::ask(const LiveInstance &other, const GroupOwner &owner, const GroupName &group) const
{
    const auto result = peers_.sight(other.address, sightingOf(owner, group), peerTimeout);
    const auto *seen = std::get_if<peer::Sighting>(&result);
    return seen == nullptr ? std::nullopt : std::optional(*seen);
}

peer::Sighting PeerSightings::sightingOf(const GroupOwner &owner, const GroupName &group) const
{
    peer::Sighting sighting;
    sighting.from = self_;
    sighting.group = group;
    sighting.seen = owner.sighting();
    sighting.busy = owner.busyMembers();
    sighting.revision = configuration_.revision();
    sighting.transactions = static_cast<std::uint32_t>(transactions_.countOf(group));
    return sighting;
}

} // namespace cardamomstep
