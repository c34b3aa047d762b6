// The page /route on the metrics address: how a statement would be routed now, for `cardamomstep explain route`.
#pragma once

#include "base/logposition.h"
#include "evloop/httpserver.h"
#include "gateway/sessionplacement.h"
#include "http/target.h"
#include "relay/engine.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cardamomstep::gateway {

/// Returns what the page shows of one member.
[[nodiscard]] inline nlohmann::json toJson(const relay::MemberExplanation &member)
{
    nlohmann::json json{
        {"member", member.name.text()}, {"primary", member.primary}, {"chosen", member.chosen}, {"costUs", member.cost.count()}};
    if (member.notPrimary) {
        json["reason"] = "not-primary";
    } else if (member.exclusion) {
        json["reason"] = relay::nameOf(*member.exclusion);
    } else if (!member.chosen) {
        json["reason"] = "higher-cost";
    }
    return json;
}

/// Returns what the page shows of the proxies that serve \a customer, and of this proxy's share of its limit.
[[nodiscard]] inline nlohmann::json
customerJson(const relay::CustomerPlacement &placement, const CustomerName &customer, const std::optional<customers::RateLimit> &limit)
{
    const auto &servers = placement.serversOf(customer);
    auto serving = nlohmann::json::array();
    for (const auto *proxy : servers.serving) {
        serving.push_back({{"instance", proxy->name.text()}, {"failureDomain", proxy->domain.text()}});
    }
    const auto share = placement.shareOf(customer);
    nlohmann::json json{{"name", customer.text()},
                        {"known", placement.knows(customer)},
                        {"serving", std::move(serving)},
                        {"shareOfLimit", share.fraction},
                        {"reserve", share.reserve}};
    if (servers.standby != nullptr) {
        json["standby"] = servers.standby->name.text();
    }
    if (limit) {
        json["ratePerSecond"] = limit->perSecond;
        json["burst"] = limit->burst;
    }
    return json;
}

/// Returns the page for the query parameters `database`, `customer`, `access` (`read` or `write`) and `after`.
///
/// Uses the functions that place sessions and choose members, and changes nothing.
[[nodiscard]] inline evloop::HttpPage
routePage(const std::string &target, const relay::Engine &engine, const SessionPlacement &placement, TimePoint now)
{
    const auto request = http::parseTarget(target);
    const auto badRequest = [](const std::string &problem) {
        return evloop::HttpPage{400,
                                nlohmann::json{{"error", problem}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
    };
    relay::RouteQuery query;
    query.database = relay::DatabaseName{request.parameter("database")};
    const auto access = request.parameter("access");
    if (query.database.empty() || (!access.empty() && access != "read" && access != "write")) {
        return badRequest(query.database.empty() ? "the parameter database is missing" : "access is read or write");
    }
    query.customer = CustomerName{request.parameter("customer")};
    query.write = access == "write";
    if (const auto after = request.parameter("after"); !after.empty()) {
        const auto position = parseLogPosition(after);
        if (!position) {
            return badRequest("after: " + position.error().description);
        }
        query.after = *position;
    }
    const auto explanation = engine.explainRoute(query, now);
    nlohmann::json json{{"database", query.database.text()},
                        {"access", query.write ? "write" : "read"},
                        {"configurationVersion", engine.routes().version()},
                        {"needsPrimary", explanation.needsPrimary},
                        {"waiting", explanation.waiting},
                        {"waits", explanation.waits}};
    if (explanation.route) {
        json["route"] = {{"group", explanation.route->group.text()},
                         {"priority", explanation.route->priority},
                         {"public", explanation.route->isPublic},
                         {"maxStalenessMs", explanation.route->maxStaleness.count()},
                         {"statementTimeoutMs", explanation.route->statementTimeout.count()}};
    }
    if (explanation.requiredPosition) {
        json["requiredPosition"] = toText(*explanation.requiredPosition);
    }
    if (explanation.refusal) {
        json["refusal"] = answerRule(*explanation.refusal).name;
        json["minRetryAfterMs"] = explanation.minRetryAfter.count();
    }
    auto members = nlohmann::json::array();
    for (const auto &member : explanation.members) {
        members.push_back(toJson(member));
    }
    json["members"] = std::move(members);
    const CustomerName customer{request.parameter("customer")};
    if (!customer.empty()) {
        json["customer"] = customerJson(placement.customers(), customer, placement.limitOf(customer));
    }
    // The key of a connection selects one of several serving proxies; the first is as good as any.
    const auto forwardedTo = placement.peekTarget(query.database, customers::CallerIdentity{customer, std::nullopt}, 0, now);
    json["forwardedTo"] = forwardedTo ? forwardedTo->proxy.text() : std::string();
    return {200, json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

} // namespace cardamomstep::gateway
