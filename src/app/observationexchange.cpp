// Exchange of observations between the owners of a group.
#include "app/observationexchange.h"

#include <utility>
#include <variant>

namespace cardamomstep {

namespace {

constexpr Milliseconds peerTimeout{200};

} // namespace

ObservationExchange::ObservationExchange(const InstanceName &self,
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

void ObservationExchange::publish(const GroupName &group, std::optional<Milliseconds> writePause)
{
    const auto owner = ownership_.find(group);
    if (!owner) {
        return;
    }
    for (const auto &other : ownership_.otherOwners(group)) {
        addTask_([this, owner, group, other, writePause] {
            auto sent = observationOf(*owner, group);
            sent.writePause = writePause;
            const auto result = peers_.exchangeObservations(other.address, sent, peerTimeout);
            const auto *received = std::get_if<peer::GroupObservation>(&result);
            if (received != nullptr && !received->from.empty()) {
                owner->onPeerObservation(received->from, received->observation);
            }
        });
    }
}

peer::GroupObservation ObservationExchange::onObservation(const peer::GroupObservation &received)
{
    const auto owner = ownership_.find(received.group);
    if (!owner) {
        return {};
    }
    if (received.writePause) {
        owner->pauseWrites(*received.writePause);
    }
    owner->onPeerObservation(received.from, received.observation);
    return observationOf(*owner, received.group);
}

std::optional<peer::GroupObservation>
ObservationExchange::query(const LiveInstance &other, const GroupOwner &owner, const GroupName &group) const
{
    const auto result = peers_.exchangeObservations(other.address, observationOf(owner, group), peerTimeout);
    const auto *received = std::get_if<peer::GroupObservation>(&result);
    return received == nullptr ? std::nullopt : std::optional(*received);
}

peer::GroupObservation ObservationExchange::observationOf(const GroupOwner &owner, const GroupName &group) const
{
    peer::GroupObservation observation;
    observation.from = self_;
    observation.group = group;
    observation.observation = owner.observation();
    observation.busyMembers = owner.busyMembers();
    observation.revision = configuration_.revision();
    observation.openTransactions = static_cast<std::uint32_t>(transactions_.countOf(group));
    return observation;
}

} // namespace cardamomstep
