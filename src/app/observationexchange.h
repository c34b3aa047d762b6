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
class PeerSightings
{
public:
    using AddTask = std::function<void(TaskPool::Task)>;

    PeerSightings(const InstanceName &self,
                  const Ownership &ownership,
                  const ConfigurationService &configuration,
                  const Transactions &transactions,
                  peer::Client &peers,
                  AddTask addTask);

    /// Tells the group's other owners what is seen here and takes in what they see; they hold new work for \a hold where it is set.
    void tell(const GroupName &group, std::optional<Milliseconds> hold);

    /// Takes in what another owner sees; returns what is seen here, nothing for a group that is not owned.
    [[nodiscard]] peer::Sighting sighted(const peer::Sighting &seen);

    /// Asks one other owner what it sees; nothing when it does not answer.
    [[nodiscard]] std::optional<peer::Sighting> ask(const LiveInstance &other, const GroupOwner &owner, const GroupName &group) const;

private:
    [[nodiscard]] peer::Sighting sightingOf(const GroupOwner &owner, const GroupName &group) const;

    const InstanceName &self_;
    const Ownership &ownership_;
    const ConfigurationService &configuration_;
    const Transactions &transactions_;
    peer::Client &peers_;
    AddTask addTask_;
};

} // namespace cardamomstep
