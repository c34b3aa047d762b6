// Writes and reads values of the groups module as JSON.
#include "trace/impl/values.h"

#include <array>
#include <utility>

namespace cardamomstep::trace::impl {

namespace {

struct PolicyField {
    const char *name;
    Milliseconds GroupPolicy::*field;
};

constexpr std::array<PolicyField, 21> policyFields{{
    {"silenceBound", &GroupPolicy::silenceBound},
    {"heartbeatInterval", &GroupPolicy::heartbeatInterval},
    {"roundTripAllowance", &GroupPolicy::roundTripAllowance},
    {"probeTimeout", &GroupPolicy::probeTimeout},
    {"idleReportGap", &GroupPolicy::idleReportGap},
    {"refusalWindow", &GroupPolicy::refusalWindow},
    {"refusalRetry", &GroupPolicy::refusalRetry},
    {"replicationBound", &GroupPolicy::replicationBound},
    {"replicationBoundLimit", &GroupPolicy::replicationBoundLimit},
    {"rankStagger", &GroupPolicy::rankStagger},
    {"jitter", &GroupPolicy::jitter},
    {"attemptPatience", &GroupPolicy::attemptPatience},
    {"attemptTimeout", &GroupPolicy::attemptTimeout},
    {"orderTimeout", &GroupPolicy::orderTimeout},
    {"orderRetry", &GroupPolicy::orderRetry},
    {"backOffMin", &GroupPolicy::backOffMin},
    {"backOffMax", &GroupPolicy::backOffMax},
    {"followRetry", &GroupPolicy::followRetry},
    {"holdLimit", &GroupPolicy::holdLimit},
    {"quietTime", &GroupPolicy::quietTime},
    {"switchoverRetry", &GroupPolicy::switchoverRetry},
}};

// A field of GroupPolicy that is missing from the table would not be recorded, so replays would differ.
static_assert(sizeof(GroupPolicy) == (policyFields.size() + 1) * sizeof(Milliseconds), "every field of GroupPolicy is listed");

constexpr const char *replicaFactor = "replicaHeartbeatFactor";

constexpr std::array<std::pair<ConnectionFault, const char *>, 5> faultNames{{
    {ConnectionFault::Refused, "refused"},
    {ConnectionFault::Closed, "closed"},
    {ConnectionFault::TimedOut, "timed-out"},
    {ConnectionFault::Corrupt, "corrupt"},
    {ConnectionFault::NoConnection, "no-connection"},
}};

constexpr std::array<std::pair<OrderKind, const char *>, 3> orderNames{{
    {OrderKind::Adopt, "adopt"},
    {OrderKind::Lead, "lead"},
    {OrderKind::Follow, "follow"},
}};

template<typename Value, std::size_t Count>
Json nameOf(const std::array<std::pair<Value, const char *>, Count> &names, Value value)
{
    for (const auto &[known, name] : names) {
        if (known == value) {
            return name;
        }
    }
    return nullptr;
}

template<typename Value, std::size_t Count>
Value valueOf(const std::array<std::pair<Value, const char *>, Count> &names, const Json &json)
{
    for (const auto &[known, name] : names) {
        if (json.get<std::string>() == name) {
            return known;
        }
    }
    throw BadValue("unknown value " + json.dump());
}

LogPosition readLogPosition(const Json &json)
{
    const auto position = parseLogPosition(json.get<std::string>());
    if (!position) {
        throw BadValue(position.error().description);
    }
    return *position;
}

} // namespace

Json write(TimePoint time)
{
    return time.time_since_epoch().count();
}

Json write(const MemberReport &report)
{
    return {{"member", report.member.text()},
            {"role", report.role == MemberRole::Primary ? "primary" : "replica"},
            {"adopted", toText(report.adopted)},
            {"log", toText(report.log)},
            {"leaving", report.leaving}};
}

Json write(const ConnectionFailure &failure)
{
    return {{"fault", nameOf(faultNames, failure.fault)}, {"notSent", failure.notSent}};
}

Json write(const TermReply &reply)
{
    return {{"accepted", reply.accepted}, {"report", write(reply.report)}};
}

Json write(const PeerObservation &observation)
{
    return {{"primary", observation.primary.text()},
            {"term", toText(observation.term)},
            {"highest", toText(observation.highest)},
            {"log", toText(observation.log)},
            {"ageMs", observation.contactAge.count()}};
}

Json write(const std::vector<GroupMember> &members)
{
    auto list = Json::array();
    for (const auto &member : members) {
        list.push_back({{"name", member.name.text()}, {"address", member.address.text()}});
    }
    return list;
}

Json write(const GroupPolicy &policy)
{
    Json json;
    for (const auto &entry : policyFields) {
        json[entry.name] = (policy.*entry.field).count();
    }
    json[replicaFactor] = policy.replicaHeartbeatFactor;
    return json;
}

Json write(OrderKind kind)
{
    return nameOf(orderNames, kind);
}

TimePoint readTime(const Json &json)
{
    return TimePoint{Microseconds{json.get<std::int64_t>()}};
}

Term readTerm(const Json &json)
{
    const auto term = parseTerm(json.get<std::string>());
    if (!term) {
        throw BadValue(term.error().description);
    }
    return *term;
}

MemberReport readReport(const Json &json)
{
    const auto role = json.at("role").get<std::string>();
    if (role != "primary" && role != "replica") {
        throw BadValue("unknown role \"" + role + "\"");
    }
    return {MemberName{json.at("member").get<std::string>()},
            role == "primary" ? MemberRole::Primary : MemberRole::Replica,
            readTerm(json.at("adopted")),
            readLogPosition(json.at("log")),
            json.at("leaving").get<bool>()};
}

ConnectionFailure readFailure(const Json &json)
{
    return {valueOf(faultNames, json.at("fault")), json.at("notSent").get<bool>(), {}};
}

TermReply readReply(const Json &json)
{
    return {json.at("accepted").get<bool>(), readReport(json.at("report"))};
}

PeerObservation readObservation(const Json &json)
{
    return {MemberName{json.at("primary").get<std::string>()},
            readTerm(json.at("term")),
            readTerm(json.at("highest")),
            readLogPosition(json.at("log")),
            Milliseconds{json.at("ageMs").get<std::int64_t>()}};
}

std::vector<GroupMember> readMembers(const Json &json)
{
    std::vector<GroupMember> members;
    for (const auto &entry : json) {
        members.push_back({MemberName{entry.at("name").get<std::string>()}, Address{entry.at("address").get<std::string>()}});
    }
    return members;
}

GroupPolicy readPolicy(const Json &json)
{
    GroupPolicy policy;
    for (const auto &entry : policyFields) {
        policy.*entry.field = Milliseconds{json.at(entry.name).get<std::int64_t>()};
    }
    policy.replicaHeartbeatFactor = json.at(replicaFactor).get<unsigned>();
    return policy;
}

OrderKind readOrder(const Json &json)
{
    return valueOf(orderNames, json);
}

} // namespace cardamomstep::trace::impl
