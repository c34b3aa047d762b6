// What the owners of a group tell each other of it.
#pragma once

#include "app/configurationservice.h"
#include "app/ownership.h"
#include "app/taskpool.h"
#include "owner/transactions.h"
#include "peer/client.h"

#include <functional>
#include <optional>

namespace cardamomstep {

/// Exchanges sightings with the other owners of groups that this proxy owns.
class ObservationExchange
{
public:
    using AddTask = std::function<void(TaskPool::Task)>;

    ObservationExchange(const InstanceName &self,
                        const Ownership &ownership,
                        const ConfigurationService &configuration,
                        const Transactions &transactions,
                        peer::Client &peers,
                        AddTask addTask);

    /// Tells the group's other owners what is seen here and takes in what they see; they hold new work for \a hold where it is set.
    void publish(const GroupName &group, std::optional<Milliseconds> writePause);

    /// Takes in what another owner sees; returns what is seen here, nothing for a group that is not owned.
    [[nodiscard]] peer::GroupObservation onObservation(const peer::GroupObservation &received);

    /// Asks one other owner what it sees; nothing when it does not answer.
    [[nodiscard]] std::optional<peer::GroupObservation>
    query(const LiveInstance &other, const GroupOwner &owner, const GroupName &group) const;

private:
    [[nodiscard]] peer::GroupObservation observationOf(const GroupOwner &owner, const GroupName &group) const;

    const InstanceName &self_;
    const Ownership &ownership_;
    const ConfigurationService &configuration_;
    const Transactions &transactions_;
    peer::Client &peers_;
    AddTask addTask_;
};

} // namespace cardamomstep
