// The active routing configuration: which group serves a database name, and how.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "customers/customer.h"
#include "relay/fwd.h"
#include "relay/message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomstep::relay {

/// Which commits a route's reads must see.
enum class Consistency : std::uint8_t {
    Current, ///< Every acknowledged commit.
    BoundedStaleness, ///< Every commit acknowledged longer ago than the bound.
    ReadYourWrites, ///< As BoundedStaleness, and every commit of the same session.
};

/// How the statements for one database name are served.
struct Route {
    DatabaseName database;
    GroupName group;
    Consistency consistency = Consistency::Current;
    /// The maximum age of the data that reads return; unused for Consistency::Current.
    Milliseconds maxStaleness{0};
    /// The maximum time for one statement.
    Milliseconds statementTimeout{1000};
    /// Time within which an operation should be answered.
    Milliseconds latencyObjective{250};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Callers need no key for this route.
    bool isPublic = false;

    [[nodiscard]] bool operator==(const Route &) const = default;
};

/// The configuration of one database group.
struct GroupConfig {
    GroupName group;
    /// The maximum number of connections that each member accepts from all proxies together.
    std::uint32_t memberConnections = 16;
    /// Number of replicas that must have received a commit before it is acknowledged.
    std::uint32_t syncReplicas = 0;

    [[nodiscard]] bool operator==(const GroupConfig &) const = default;
};

/// One version of the configuration.
struct Configuration {
    /// The operators' version number; increases with each change.
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<GroupConfig> groups;
    /// A transaction that is idle for longer may be ended.
    Milliseconds transactionIdle{3000};
    /// The customers; nothing if callers need no keys.
    std::optional<std::vector<customers::Customer>> customers;
    /// Faults for which customers or keys were left out.
    std::vector<customers::CustomerFault> customerFaults;
};

/// The active configuration; it is never replaced by an older version.
class RoutingTable
{
public:
    /// Applies a configuration; returns false if it is not newer than the active one.
    bool accept(const Configuration &configuration);

    /// Returns true once a configuration was accepted.
    [[nodiscard]] bool isLoaded() const noexcept
    {
        return loaded_;
    }

    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return version_;
    }

    /// Returns the route for \a database; null if there is none.
    [[nodiscard]] const Route *find(const DatabaseName &database) const;

    /// Returns the configuration of \a group; null if the active configuration does not contain it.
    [[nodiscard]] const GroupConfig *group(const GroupName &group) const;

    [[nodiscard]] const std::map<GroupName, GroupConfig> &groups() const noexcept
    {
        return groups_;
    }

    [[nodiscard]] Milliseconds transactionIdle() const noexcept
    {
        return transactionIdle_;
    }

private:
    bool loaded_ = false;
    std::uint64_t version_ = 0;
    std::unordered_map<DatabaseName, Route> routes_;
    std::map<GroupName, GroupConfig> groups_;
    Milliseconds transactionIdle_{3000};
};

} // namespace cardamomstep::relay
