// The routing intents in force: which database name is served by which group, and how.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "relay/fwd.h"
#include "relay/message.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomstep::relay {

/// What a route's reads must see.
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
    /// Age that reads may have; unused for Consistency::Current.
    Milliseconds maxStaleness{0};
    /// Bound on one statement.
    Milliseconds statementTimeout{1000};
    /// Time within which an operation should be answered.
    Milliseconds latencyObjective{250};
    /// 0 is the most important.
    std::uint32_t priority = 0;

    [[nodiscard]] bool operator==(const Route &) const = default;
};

/// What is configured for one database group.
struct GroupConfig {
    GroupName group;
    /// Connections that each member accepts from all proxies together.
    std::uint32_t memberConnections = 16;
    /// Replicas that must have received a commit before it is acknowledged.
    std::uint32_t syncReplicas = 0;

    [[nodiscard]] bool operator==(const GroupConfig &) const = default;
};

/// One version of the configuration.
struct Configuration {
    /// The operators' version number; grows with each change.
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<GroupConfig> groups;
    /// A transaction idle for longer may be ended.
    Milliseconds transactionIdle{3000};
    /// Largest message of a caller in bytes.
    std::size_t messageBytes = std::size_t{1} << 20U;
};

/// The configuration in force; never goes back to an older version.
class RouteBook
{
public:
    /// Takes in a configuration; false when it is not newer than the one in force.
    bool accept(const Configuration &configuration);

    /// True once a configuration was accepted.
    [[nodiscard]] bool known() const noexcept
    {
        return known_;
    }

    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return version_;
    }

    /// The route for \a database; null when there is none.
    [[nodiscard]] const Route *find(const DatabaseName &database) const;

    /// The configuration of \a group; null when no configuration named it.
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
    bool known_ = false;
    std::uint64_t version_ = 0;
    std::unordered_map<DatabaseName, Route> routes_;
    std::map<GroupName, GroupConfig> groups_;
    Milliseconds transactionIdle_{3000};
};

} // namespace cardamomstep::relay
