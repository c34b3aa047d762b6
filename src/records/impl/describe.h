// Describes the fields of each kind of record in each schema version, once for both reading and writing.
//
// A Form is a FieldReader or a FieldWriter.
#pragma once

#include "records/impl/fieldreader.h"
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
     {"GroupStatus", RecordKind::GroupStatus},
     {"InstanceStatus", RecordKind::InstanceStatus},
     {"PlanStatus", RecordKind::PlanStatus},
     {"AuditEntry", RecordKind::AuditEntry}}};

/// Returns \a name in v2, which groups related fields in nested objects; empty in v1, which is flat.
inline std::string sectionInV2(SchemaVersion schema, const char *name)
{
    return schema == SchemaVersion::V2 ? name : std::string();
}

template<typename Form>
void describe(Form &form, SchemaVersion schema, DatabaseGroup &group)
{
    form.list("members", group.members, memberCount, "name", [](auto &fields, MemberSpec &member) {
        fields.name("name", member.name);
        fields.name("failureDomain", member.failureDomain);
        fields.address("address", member.address);
    });
    form.section(sectionInV2(schema, "capacity"), [&group](auto &fields) {
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
            form.fault("members", "expected distinct addresses, got \"" + member.address.text() + "\" twice");
        }
    }
}

template<typename Form>
void describe(Form &form, SchemaVersion schema, RoutingIntent &intent)
{
    form.name("service", intent.service);
    form.section(sectionInV2(schema, "keys"), [&intent](auto &fields) {
        fields.names("groups", intent.groups, groupCount);
        fields.list("prefixes", intent.prefixes, prefixCount, "prefix", [](auto &rule, PrefixRule &value) {
            rule.text("prefix", value.prefix, prefixLength);
            rule.name("group", value.group);
        });
    });
    form.section(sectionInV2(schema, "reads"), [&intent](auto &fields) {
        fields.optionalMilliseconds("acceptedAgeMs", intent.acceptedAge, {0, maxAcceptedAgeMs});
    });
    form.section(sectionInV2(schema, "share"), [&intent](auto &fields) {
        fields.optionalNumber("guaranteedPercent", intent.guaranteedPercent, {0, maxPercent});
    });
}

template<typename Form>
void describeTarget(Form &form, StopPlan &plan)
{
    const bool endpoint = form.has("endpoint", std::holds_alternative<EndpointTarget>(plan.target));
    const bool instance = form.has("instance", std::holds_alternative<InstanceTarget>(plan.target));
    if (endpoint == instance) {
        form.fault("endpoint", "expected either \"endpoint\" or \"instance\"");
        return;
    }
    if (endpoint) {
        auto target = std::get_if<EndpointTarget>(&plan.target) == nullptr ? EndpointTarget{} : std::get<EndpointTarget>(plan.target);
        form.section("endpoint", [&target](auto &fields) {
            fields.name("group", target.group);
            fields.name("member", target.member);
        });
        plan.target = std::move(target);
        return;
    }
    auto target = std::get_if<InstanceTarget>(&plan.target) == nullptr ? InstanceTarget{} : std::get<InstanceTarget>(plan.target);
    form.name("instance", target.instance);
    plan.target = std::move(target);
}

template<typename Form>
void describe(Form &form, SchemaVersion schema, StopPlan &plan)
{
    form.section(sectionInV2(schema, "target"), [&plan](auto &fields) { describeTarget(fields, plan); });
    form.optionalEnumValue("state", plan.state, planStates);
    form.section(sectionInV2(schema, "schedule"), [&plan](auto &fields) { fields.optionalWallTime("notBeforeMs", plan.notBefore); });
}

template<typename Form>
void describe(Form &form, SchemaVersion schema, GroupStatus &status)
{
    form.term("term", status.term);
    form.optionalName("primary", status.primary);
    form.section(sectionInV2(schema, "report"), [&status](auto &fields) {
        fields.optionalName("reportedBy", status.reportedBy);
        fields.wallTime("atMs", status.at);
    });
}

template<typename Form>
void describeForms(Form &form, std::vector<RecordForm> &forms)
{
    if constexpr (Form::reads) {
        // Forms that this release does not know are skipped: a newer proxy may list them.
        for (const auto &text : form.texts("forms", formCount)) {
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
        form.texts("forms", texts);
    }
}

template<typename Form>
void describe(Form &form, SchemaVersion schema, InstanceStatus &status)
{
    form.name("failureDomain", status.failureDomain);
    form.address("address", status.address);
    form.enumValue("state", status.state, instanceStates);
    form.section(sectionInV2(schema, "configuration"), [&status](auto &fields) {
        fields.number("revision", status.revision, {});
        describeForms(fields, status.forms);
    });
    form.wallTime("atMs", status.at);
}

template<typename Form>
void describe(Form &form, SchemaVersion schema, PlanStatus &status)
{
    form.enumValue("progress", status.progress, planProgresses);
    form.optionalText("detail", status.detail, detailLength);
    form.section(sectionInV2(schema, "report"), [&status](auto &fields) {
        fields.optionalName("reportedBy", status.reportedBy);
        fields.wallTime("atMs", status.at);
    });
}

template<typename Form>
void describe(Form &form, SchemaVersion schema, AuditEntry &entry)
{
    form.optionalText("who", entry.who, whoLength);
    form.wallTime("atMs", entry.at);
    form.section(sectionInV2(schema, "record"), [&entry](auto &fields) {
        fields.enumValue("kind", entry.key.kind, kindNames);
        fields.name("name", entry.key.name);
        fields.number("fromVersion", entry.fromVersion, {});
        fields.number("toVersion", entry.toVersion, {});
        fields.optionalBoolean("deleted", entry.deleted);
    });
    form.list("changes", entry.changes, changeCount, "field", [](auto &fields, FieldChange &change) {
        fields.text("field", change.field, fieldLength);
        fields.optionalJson("before", change.before);
        fields.optionalJson("after", change.after);
    });
    form.optionalBoolean("truncated", entry.truncated);
}

} // namespace cardamomstep::impl
