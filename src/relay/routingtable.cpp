// Replaces the active routing configuration by newer versions.
#include "relay/routingtable.h"

namespace cardamomstep::relay {

bool RoutingTable::accept(const Configuration &configuration)
{
    if (loaded_ && configuration.version <= version_) {
        return false;
    }
    loaded_ = true;
    version_ = configuration.version;
    transactionIdle_ = configuration.transactionIdle;
    routes_.clear();
    for (const auto &route : configuration.routes) {
        routes_.emplace(route.database, route);
    }
    groups_.clear();
    for (const auto &group : configuration.groups) {
        groups_.emplace(group.group, group);
    }
    return true;
}

const Route *RoutingTable::find(const DatabaseName &database) const
{
    const auto found = routes_.find(database);
    return found == routes_.end() ? nullptr : &found->second;
}

const GroupConfig *RoutingTable::group(const GroupName &group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? nullptr : &found->second;
}

} // namespace cardamomstep::relay
