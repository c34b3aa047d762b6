// The state of a session proxy as JSON, for `cardamomstep status --session`.
#pragma once

#include "gateway/proxymetrics.h"
#include "relay/engine.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cardamomstep::gateway {

/// Returns the proxy's state of one group.
[[nodiscard]] inline nlohmann::json toJson(const relay::GroupStats &group, TimePoint now)
{
    return {{"group", group.group.text()},
            {"primary", group.primary.member.text()},
            {"generation", group.primary.generation},
            {"usable", group.primary.usable(now)},
            {"held", group.primary.changeInProgress},
            {"viewLeftMs", wholeMilliseconds(group.primary.validUntil - now).count()},
            {"primaryLeavingMs", wholeMilliseconds(now - group.primaryDrainingSince.value_or(now)).count()},
            {"waiting", group.waiting},
            {"connections", group.connections},
            {"connectionsLent", group.connectionsInUse}};
}

/// Returns the page: the proxy's state and that of each group.
[[nodiscard]] inline std::string
statusPage(const InstanceName &instance, const relay::Engine &engine, const LeadershipGauges &leadership, TimePoint now)
{
    auto groups = nlohmann::json::array();
    for (const auto &group : engine.groupStats()) {
        groups.push_back(toJson(group, now));
    }
    const nlohmann::json page{{"instance", instance.text()},
                              {"configurationVersion", engine.routes().version()},
                              {"sessions", engine.callers()},
                              {"draining", engine.draining()},
                              {"holdsLease", leadership.holdsLease},
                              {"leaseHolder", leadership.leaseHolder.text()},
                              {"viewLeftMs", leadership.primaryTableTimeLeft.count()},
                              {"proxies", leadership.proxies},
                              {"groups", groups}};
    return page.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace cardamomstep::gateway
