// Exchange of observations between the owners of a group.
#pragma once

#include "app/configurationservice.h"
#include "app/ownership.h"
#include "app/taskpool.h"
#include "owner/transactions.h"
#include "peer/client.h"

#include <functional>
#include <optional>

namespace cardamomstep {

/// Exchanges observations with the other owners of the groups that this proxy owns; safe for use by many threads.
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

    /// Sends the local observation to the group's other owners in background tasks, and records their replies.
    ///
    /// If \a writePause is set, the others pause writes for that long; zero resumes them.
    void publish(const GroupName &group, std::optional<Milliseconds> writePause);

    /// Records another owner's observation and applies its write pause.
    ///
    /// Returns the local observation, an empty one if this proxy does not own the group.
    [[nodiscard]] peer::GroupObservation onObservation(const peer::GroupObservation &received);

    /// Sends the local observation to one other owner and returns that owner's; nothing if it does not reply. Blocks until then.
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
