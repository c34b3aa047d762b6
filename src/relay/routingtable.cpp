// Replaces the routing intents in force by newer ones.
#include "relay/routingtable.h"

namespace cardamomstep::relay {

bool RouteBook::accept(const Configuration &configuration)
{
    if (known_ && configuration.version <= version_) {
        return false;
    }
    known_ = true;
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

const Route *RouteBook::find(const DatabaseName &database) const
{
    const auto found = routes_.find(database);
    return found == routes_.end() ? nullptr : &found->second;
}

const GroupConfig *RouteBook::group(const GroupName &group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? nullptr : &found->second;
}

} // namespace cardamomstep::relay
