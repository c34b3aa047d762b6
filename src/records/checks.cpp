// Checks records for consistency with each other.
#include "records/checks.h"

#include "records/catalog.h"
#include "records/keydigest.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace cardamomstep {

namespace {

/// Calls \a visit with the key and entry of each record of \a kind.
template<typename Visit>
void forEach(const Catalog &catalog, RecordKind kind, Visit visit)
{
    const auto &entries = catalog.entries();
    for (auto entry = entries.lower_bound(RecordKey{kind, {}}); entry != entries.end() && entry->first.kind == kind; ++entry) {
        visit(entry->first, entry->second);
    }
}

const EndpointTarget *activeEndpoint(const Record &record)
{
    const auto *plan = std::get_if<StopPlan>(&record.spec);
    if (plan == nullptr || plan->state != PlanState::Active) {
        return nullptr;
    }
    return std::get_if<EndpointTarget>(&plan->target);
}

bool hasMember(const DatabaseGroup &group, const MemberName &name)
{
    return std::any_of(group.members.begin(), group.members.end(), [&name](const MemberSpec &member) { return member.name == name; });
}

/// Returns the members of the group \a name that active plans other than \a except stop.
std::set<MemberName> plannedMembers(const Catalog &catalog, const GroupName &name, const RecordName &except)
{
    std::set<MemberName> members;
    forEach(catalog, RecordKind::StopPlan, [&](const RecordKey &key, const CatalogEntry &entry) {
        const auto *target = activeEndpoint(*entry.record);
        if (target != nullptr && target->group == name && key.name != except) {
            members.insert(target->member);
        }
    });
    return members;
}

bool keepsMajority(const DatabaseGroup &group, const std::set<MemberName> &leaving)
{
    const auto leavingCount = static_cast<std::size_t>(std::count_if(
        group.members.begin(), group.members.end(), [&leaving](const MemberSpec &member) { return leaving.count(member.name) > 0; }));
    return group.members.size() - leavingCount >= majorityOf(group.members.size());
}

Error fault(const RecordKey &key, ErrorKind kind, std::string field, std::string description)
{
    Error error{kind, std::move(description)};
    error.position = SourcePosition{toText(key), 0, std::move(field)};
    return error;
}

std::vector<Error> checkSpec(const Catalog &catalog, const RecordKey &key, const DatabaseGroup &group)
{
    const auto leaving = plannedMembers(catalog, GroupName{key.name.text()}, {});
    if (keepsMajority(group, leaving)) {
        return {};
    }
    return {fault(key, ErrorKind::PlanRefused, "spec.members", "the active stop plans would leave no majority of these members")};
}

std::vector<Error> checkSpec(const Catalog &catalog, const RecordKey &key, const RoutingIntent &intent)
{
    std::set<GroupName> named(intent.groups.begin(), intent.groups.end());
    for (const auto &rule : intent.prefixes) {
        named.insert(rule.group);
    }
    std::vector<Error> errors;
    for (const auto &name : named) {
        if (catalog.group(name) == nullptr) {
            errors.push_back(fault(key, ErrorKind::InvalidRecord, "spec.groups", "no record describes the group \"" + name.text() + "\""));
        }
    }
    forEach(catalog, RecordKind::RoutingIntent, [&](const RecordKey &other, const CatalogEntry &entry) {
        if (other != key && std::get<RoutingIntent>(entry.record->spec).service == intent.service) {
            errors.push_back(fault(
                key, ErrorKind::InvalidRecord, "spec.service", "the intent \"" + other.name.text() + "\" describes this service already"));
        }
    });
    return errors;
}

std::vector<Error> checkSpec(const Catalog &catalog, const RecordKey &key, const StopPlan &plan)
{
    const auto *target = std::get_if<EndpointTarget>(&plan.target);
    if (target == nullptr || plan.state != PlanState::Active) {
        return {};
    }
    const auto *group = catalog.group(target->group);
    if (group == nullptr || !hasMember(*group, target->member)) {
        return {fault(key,
                      ErrorKind::InvalidRecord,
                      "spec.endpoint",
                      "no record describes the member \"" + target->member.text() + "\" of the group \"" + target->group.text() + "\"")};
    }
    auto leaving = plannedMembers(catalog, target->group, key.name);
    leaving.insert(target->member);
    if (keepsMajority(*group, leaving)) {
        return {};
    }
    return {fault(key,
                  ErrorKind::PlanRefused,
                  "spec.endpoint",
                  "of the " + std::to_string(group->members.size()) + " members of \"" + target->group.text() + "\", "
                      + std::to_string(majorityOf(group->members.size())) + " must stay, and the active plans stop "
                      + std::to_string(leaving.size()))};
}

std::vector<Error> checkSpec(const Catalog &catalog, const RecordKey &key, const CustomerSpec &customer)
{
    std::vector<Error> errors;
    for (const auto &digest : customer.keys) {
        const auto holder = catalog.customerOf(digest);
        if (holder && *holder != CustomerName{key.name.text()}) {
            errors.push_back(fault(key,
                                   ErrorKind::InvalidRecord,
                                   "spec.keys",
                                   "the customer \"" + holder->text() + "\" has the key " + shortDigest(digest) + " already"));
        }
    }
    return errors;
}

template<typename Status>
std::vector<Error> checkSpec(const Catalog & /*catalog*/, const RecordKey & /*key*/, const Status & /*status*/)
{
    return {};
}

bool usesGroup(const RoutingIntent &intent, const GroupName &name)
{
    const bool byHash = std::find(intent.groups.begin(), intent.groups.end(), name) != intent.groups.end();
    return byHash
        || std::any_of(intent.prefixes.begin(), intent.prefixes.end(), [&name](const PrefixRule &rule) { return rule.group == name; });
}

} // namespace

std::vector<Error> checkCandidate(const Catalog &catalog, const Record &candidate)
{
    const auto key = candidate.key();
    return std::visit([&catalog, &key](const auto &spec) { return checkSpec(catalog, key, spec); }, candidate.spec);
}

std::vector<Error> checkRemoval(const Catalog &catalog, const RecordKey &key)
{
    std::vector<Error> errors;
    if (key.kind != RecordKind::DatabaseGroup) {
        return errors;
    }
    const GroupName name{key.name.text()};
    forEach(catalog, RecordKind::RoutingIntent, [&](const RecordKey &other, const CatalogEntry &entry) {
        if (usesGroup(std::get<RoutingIntent>(entry.record->spec), name)) {
            errors.push_back(fault(key, ErrorKind::InvalidRecord, {}, "the intent \"" + other.name.text() + "\" names this group"));
        }
    });
    if (!plannedMembers(catalog, name, {}).empty()) {
        errors.push_back(fault(key, ErrorKind::InvalidRecord, {}, "an active stop plan names a member of this group"));
    }
    return errors;
}

std::vector<MemberName> leavingMembers(const Catalog &catalog, const GroupName &group)
{
    const auto *description = catalog.group(group);
    if (description == nullptr) {
        return {};
    }
    std::vector<std::pair<std::uint64_t, MemberName>> plans;
    forEach(catalog, RecordKind::StopPlan, [&](const RecordKey & /*key*/, const CatalogEntry &entry) {
        const auto *target = activeEndpoint(*entry.record);
        if (target != nullptr && target->group == group && hasMember(*description, target->member)) {
            plans.emplace_back(entry.version, target->member);
        }
    });
    std::sort(plans.begin(), plans.end());
    std::set<MemberName> leaving;
    std::vector<MemberName> ordered;
    for (const auto &[version, member] : plans) {
        auto next = leaving;
        next.insert(member);
        if (next.size() > leaving.size() && keepsMajority(*description, next)) {
            leaving = std::move(next);
            ordered.push_back(member);
        }
    }
    return ordered;
}

} // namespace cardamomstep
