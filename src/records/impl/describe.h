// Describes the fields of each kind of record in each schema version, once for both reading and writing.
//
// A Codec is a FieldReader or a FieldWriter.
#pragma once

#include "records/impl/fieldreader.h"
#include "records/keydigest.h"
#include "records/record.h"

#include <array>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace cardamomstep::impl {

inline constexpr std::uint32_t maxConnections = 100'000;
inline constexpr std::int64_t maxServiceTimeMs = 60'000;
inline constexpr std::int64_t maxAcceptedAgeMs = 86'400'000;
inline constexpr std::uint32_t maxPercent = 100;
inline constexpr json::Length memberCount{1, 9};
inline constexpr json::Length groupCount{1, 4096};
inline constexpr json::Length prefixCount{0, 4096};
inline constexpr json::Length keyCount{0, 64};
inline constexpr std::uint32_t maxOperationsPerSecond = 10'000'000;
inline constexpr json::Length prefixLength{1, 256};
inline constexpr json::Length formCount{0, 64};
inline constexpr json::Length changeCount{0, 4096};
inline constexpr json::Length detailLength{0, 1024};
inline constexpr json::Length whoLength{0, 128};
inline constexpr json::Length fieldLength{1, 1024};

inline constexpr std::array<std::pair<std::string_view, PlanState>, 2> planStates{
    {{"active", PlanState::Active}, {"ended", PlanState::Ended}}};
inline constexpr std::array<std::pair<std::string_view, InstanceState>, 3> instanceStates{
    {{"starting", InstanceState::Starting}, {"ready", InstanceState::Ready}, {"draining", InstanceState::Draining}}};
inline constexpr std::array<std::pair<std::string_view, PlanProgress>, 4> planProgresses{{{"waiting", PlanProgress::Waiting},
                                                                                          {"draining", PlanProgress::Draining},
                                                                                          {"done", PlanProgress::Done},
                                                                                          {"refused", PlanProgress::Refused}}};
inline constexpr std::array<std::pair<std::string_view, RecordKind>, allRecordKinds.size()> kindNames{
    {{"DatabaseGroup", RecordKind::DatabaseGroup},
     {"RoutingIntent", RecordKind::RoutingIntent},
     {"StopPlan", RecordKind::StopPlan},
     {"Customer", RecordKind::Customer},
     {"GroupStatus", RecordKind::GroupStatus},
     {"InstanceStatus", RecordKind::InstanceStatus},
     {"PlanStatus", RecordKind::PlanStatus},
     {"AuditEntry", RecordKind::AuditEntry}}};

/// Returns \a name in v2, which groups related fields in nested objects; empty in v1, which is flat.
inline std::string sectionInV2(SchemaVersion schema, const char *name)
{
    return schema == SchemaVersion::V2 ? name : std::string();
}

template<typename Codec>
void describe(Codec &codec, SchemaVersion schema, DatabaseGroup &group)
{
    codec.list("members", group.members, memberCount, "name", [](auto &fields, MemberSpec &member) {
        fields.name("name", member.name);
        fields.name("failureDomain", member.failureDomain);
        fields.address("address", member.address);
    });
    codec.section(sectionInV2(schema, "capacity"), [&group](auto &fields) {
        fields.number("connections", group.connections, {1, maxConnections});
        fields.number("slots", group.slots, {1, maxConnections});
        fields.milliseconds("serviceTimeMs", group.serviceTime, {1, maxServiceTimeMs});
        if (group.slots > group.connections) {
            fields.fault("slots", "expected at most as many as connections, got " + std::to_string(group.slots));
        }
    });
    std::set<Address> addresses;
    for (const auto &member : group.members) {
        if (!member.address.empty() && !addresses.insert(member.address).second) {
            codec.fault("members", "expected distinct addresses, got \"" + member.address.text() + "\" twice");
        }
    }
}

template<typename Codec>
void describe(Codec &codec, SchemaVersion schema, RoutingIntent &intent)
{
    codec.name("service", intent.service);
    codec.section(sectionInV2(schema, "keys"), [&intent](auto &fields) {
        fields.names("groups", intent.groups, groupCount);
        fields.list("prefixes", intent.prefixes, prefixCount, "prefix", [](auto &rule, PrefixRule &value) {
            rule.text("prefix", value.prefix, prefixLength);
            rule.name("group", value.group);
        });
    });
    codec.section(sectionInV2(schema, "reads"), [&intent](auto &fields) {
        fields.optionalMilliseconds("acceptedAgeMs", intent.acceptedAge, {0, maxAcceptedAgeMs});
    });
    codec.section(sectionInV2(schema, "share"), [&intent](auto &fields) {
        fields.optionalNumber("guaranteedPercent", intent.guaranteedPercent, {0, maxPercent});
    });
}

template<typename Codec>
void describeTarget(Codec &codec, StopPlan &plan)
{
    const bool endpoint = codec.has("endpoint", std::holds_alternative<EndpointTarget>(plan.target));
    const bool instance = codec.has("instance", std::holds_alternative<InstanceTarget>(plan.target));
    if (endpoint == instance) {
        codec.fault("endpoint", "expected either \"endpoint\" or \"instance\"");
        return;
    }
    if (endpoint) {
        auto target = std::get_if<EndpointTarget>(&plan.target) == nullptr ? EndpointTarget{} : std::get<EndpointTarget>(plan.target);
        codec.section("endpoint", [&target](auto &fields) {
            fields.name("group", target.group);
            fields.name("member", target.member);
        });
        plan.target = std::move(target);
        return;
    }
    auto target = std::get_if<InstanceTarget>(&plan.target) == nullptr ? InstanceTarget{} : std::get<InstanceTarget>(plan.target);
    codec.name("instance", target.instance);
    plan.target = std::move(target);
}

template<typename Codec>
void describe(Codec &codec, SchemaVersion schema, StopPlan &plan)
{
    codec.section(sectionInV2(schema, "target"), [&plan](auto &fields) { describeTarget(fields, plan); });
    codec.optionalEnumValue("state", plan.state, planStates);
    codec.section(sectionInV2(schema, "schedule"), [&plan](auto &fields) { fields.optionalWallTime("notBeforeMs", plan.notBefore); });
}

template<typename Codec>
void describeKeys(Codec &codec, std::vector<std::string> &keys)
{
    if constexpr (Codec::reads) {
        std::set<std::string> seen;
        for (auto &text : codec.texts("keys", keyCount)) {
            if (!isKeyDigest(text)) {
                // The text may be a key in plain, so the fault does not repeat it.
                codec.fault("keys", "expected digests \"sha256:\" and 64 digits 0-9a-f; 'cardamomstep key-digest' computes one");
            } else if (!seen.insert(text).second) {
                codec.fault("keys", "expected distinct digests, got " + shortDigest(text) + " twice");
            } else {
                keys.push_back(std::move(text));
            }
        }
    } else {
        codec.texts("keys", keys);
    }
}

template<typename Codec>
void describe(Codec &codec, SchemaVersion schema, CustomerSpec &customer)
{
    describeKeys(codec, customer.keys);
    codec.section(sectionInV2(schema, "limit"), [&customer](auto &fields) {
        if (fields.has("ratePerSecond", customer.ratePerSecond.has_value())) {
            auto rate = customer.ratePerSecond.value_or(0);
            fields.number("ratePerSecond", rate, {0, maxOperationsPerSecond});
            customer.ratePerSecond = rate;
        }
        fields.optionalNumber("burst", customer.burst, {0, maxOperationsPerSecond});
    });
}

template<typename Codec>
void describe(Codec &codec, SchemaVersion schema, GroupStatus &status)
{
    codec.term("term", status.term);
    codec.optionalName("primary", status.primary);
    codec.section(sectionInV2(schema, "report"), [&status](auto &fields) {
        fields.optionalName("reportedBy", status.reportedBy);
        fields.wallTime("atMs", status.at);
    });
}

template<typename Codec>
void describeForms(Codec &codec, std::vector<RecordForm> &forms)
{
    if constexpr (Codec::reads) {
        // Forms that this release does not know are skipped: a newer proxy may list them.
        for (const auto &text : codec.texts("forms", formCount)) {
            if (const auto known = recordFormFromText(text)) {
                forms.push_back(*known);
            }
        }
    } else {
        std::vector<std::string> texts;
        texts.reserve(forms.size());
        for (const auto &known : forms) {
            texts.push_back(toText(known));
        }
        codec.texts("forms", texts);
    }
}

template<typename Codec>
void describe(Codec &codec, SchemaVersion schema, InstanceStatus &status)
{
    codec.name("failureDomain", status.failureDomain);
    codec.address("address", status.address);
    codec.enumValue("state", status.state, instanceStates);
    codec.section(sectionInV2(schema, "configuration"), [&status](auto &fields) {
        fields.number("revision", status.revision, {});
        describeForms(fields, status.forms);
    });
    codec.wallTime("atMs", status.at);
}

template<typename Codec>
void describe(Codec &codec, SchemaVersion schema, PlanStatus &status)
{
    codec.enumValue("progress", status.progress, planProgresses);
    codec.optionalText("detail", status.detail, detailLength);
    codec.section(sectionInV2(schema, "report"), [&status](auto &fields) {
        fields.optionalName("reportedBy", status.reportedBy);
        fields.wallTime("atMs", status.at);
    });
}

template<typename Codec>
void describe(Codec &codec, SchemaVersion schema, AuditEntry &entry)
{
    codec.optionalText("who", entry.who, whoLength);
    codec.wallTime("atMs", entry.at);
    codec.section(sectionInV2(schema, "record"), [&entry](auto &fields) {
        fields.enumValue("kind", entry.key.kind, kindNames);
        fields.name("name", entry.key.name);
        fields.number("fromVersion", entry.fromVersion, {});
        fields.number("toVersion", entry.toVersion, {});
        fields.optionalBoolean("deleted", entry.deleted);
    });
    codec.list("changes", entry.changes, changeCount, "field", [](auto &fields, FieldChange &change) {
        fields.text("field", change.field, fieldLength);
        fields.optionalJson("before", change.before);
        fields.optionalJson("after", change.after);
    });
    codec.optionalBoolean("truncated", entry.truncated);
}

} // namespace cardamomstep::impl
