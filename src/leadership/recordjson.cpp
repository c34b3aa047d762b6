// Names and JSON fields of the fleet's objects in the store.
#include "leadership/recordjson.h"

#include "http/address.h"
#include "json/untrusted.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cardamomstep::leadership {

namespace {

using Json = nlohmann::json;

constexpr std::string_view recordPrefix = "group.";
constexpr std::string_view proxyPrefix = "proxy.";
constexpr std::string_view leaseName = "lease";
/// Fencing token of a lease that cannot be read: below that of every lease that was taken.
constexpr std::uint64_t unreadableFence = 1;

/// Numbers of fields are below this; a larger one could not be counted up.
constexpr std::uint64_t numberLimit = std::uint64_t{1} << 63U;

/// Reads the fields of one value, and notes whether all that are there have their types.
class ValueReader
{
public:
    explicit ValueReader(std::string_view text)
        : value_(json::parseUntrusted(text))
        , readable_(!value_.is_discarded() && value_.is_object())
    {
    }

    [[nodiscard]] bool readable() const noexcept
    {
        return readable_;
    }

    [[nodiscard]] bool has(const char *key) const
    {
        return find(key) != nullptr;
    }

    /// Returns the text in field \a key; an empty one if it is missing.
    std::string text(const char *key)
    {
        const auto *field = find(key);
        return check(field, field != nullptr && field->is_string()) ? field->get<std::string>() : std::string();
    }

    /// Returns the number in field \a key; 0 if it is missing.
    std::uint64_t number(const char *key)
    {
        const auto *field = find(key);
        const bool valid = field != nullptr && field->is_number_unsigned() && field->get<std::uint64_t>() < numberLimit;
        return check(field, valid) ? field->get<std::uint64_t>() : 0;
    }

    bool flag(const char *key)
    {
        const auto *field = find(key);
        return check(field, field != nullptr && field->is_boolean()) && field->get<bool>();
    }

    /// Returns the address in field \a key; an empty one if it is missing or empty.
    Address address(const char *key)
    {
        Address address{text(key)};
        if (!address.empty() && !http::parseAddress(address)) {
            readable_ = false;
        }
        return address;
    }

private:
    const Json *find(const char *key) const
    {
        if (!value_.is_object()) {
            return nullptr;
        }
        const auto found = value_.find(key);
        return found == value_.end() ? nullptr : &*found;
    }

    bool check(const Json *field, bool valid)
    {
        readable_ = readable_ && (field == nullptr || valid);
        return valid;
    }

    Json value_;
    bool readable_;
};

LeaseState leaseOf(const StoredObject &object)
{
    ValueReader reader(object.value);
    LeaseState lease;
    lease.holder = InstanceName{reader.text("holder")};
    lease.renewals = reader.number("renewals");
    lease.revision = object.version;
    lease.writtenIn = StoreEpoch{reader.number("epoch")};
    lease.fencingToken = reader.number("fence");
    if (!reader.readable()) {
        // Who held it may still rely on it, so it counts as held until nothing was written for a whole duration.
        lease = {unknownHolder(), unreadableFence, 0, object.version, object.version.epoch};
    }
    if (lease.fencingToken == 0) {
        lease.fencingToken = fencingTokenOf({object.version.value, lease.writtenIn});
    }
    return lease;
}

GroupRecord recordOf(const StoredObject &object, GroupName group)
{
    ValueReader reader(object.value);
    GroupRecord record;
    record.group = std::move(group);
    record.primary = MemberName{reader.text("primary")};
    record.generation = reader.number("generation");
    record.changeInProgress = reader.flag("moving");
    record.contested = reader.flag("contested");
    record.revision = object.version;
    record.writtenIn = StoreEpoch{reader.number("epoch")};
    // The lease holder writes a record without a primary in place of an unreadable one, until it knows who leads.
    const bool complete = reader.has("primary") && (!record.primary.empty() || record.changeInProgress);
    if (reader.readable() && complete) {
        return record;
    }
    // Not confirmed, so nobody relies on it, and the lease holder writes it again.
    GroupRecord unreadable;
    unreadable.group = std::move(record.group);
    unreadable.changeInProgress = true;
    unreadable.contested = true;
    unreadable.revision = object.version;
    unreadable.writtenIn = StoreEpoch{object.version.epoch.value + 1};
    return unreadable;
}

ProxyEntry proxyOf(const StoredObject &object, InstanceName instance)
{
    ValueReader reader(object.value);
    ProxyEntry entry{std::move(instance),
                     reader.address("address"),
                     reader.address("sessions"),
                     FailureDomain{reader.text("failureDomain")},
                     Region{reader.text("region")}};
    if (reader.readable() && !entry.address.empty()) {
        return entry;
    }
    // Primary changes still have to wait for the proxy, which may run; nobody can connect to it.
    return ProxyEntry{entry.instance, {}, {}, {}, {}};
}

} // namespace

ObjectKind fleetKind()
{
    return ObjectKind{"fleet"};
}

ObjectKind leaseKind()
{
    return ObjectKind{"fleet-lease"};
}

ObjectKey leaseKey()
{
    return {leaseKind(), ObjectName{std::string(leaseName)}};
}

ObjectKey recordKey(const GroupName &group)
{
    return {fleetKind(), ObjectName{std::string(recordPrefix) + group.text()}};
}

ObjectKey proxyKey(const InstanceName &instance)
{
    return {fleetKind(), ObjectName{std::string(proxyPrefix) + instance.text()}};
}

std::string encode(const GroupRecord &record)
{
    Json value{{"primary", record.primary.text()},
               {"generation", record.generation},
               {"moving", record.changeInProgress},
               {"epoch", record.writtenIn.value}};
    if (record.contested) {
        value["contested"] = true;
    }
    return value.dump();
}

std::string encodeLease(const InstanceName &holder, std::uint64_t fencingToken, std::uint64_t renewals, StoreEpoch epoch)
{
    return Json{{"holder", holder.text()}, {"fence", fencingToken}, {"renewals", renewals}, {"epoch", epoch.value}}.dump();
}

std::string encode(const ProxyEntry &entry)
{
    return Json{{"address", entry.address.text()},
                {"sessions", entry.sessions.text()},
                {"failureDomain", entry.failureDomain.text()},
                {"region", entry.region.text()}}
        .dump();
}

std::optional<InstanceName> instanceOf(const StoredObject &object)
{
    const std::string_view name = object.name.text();
    return name.starts_with(proxyPrefix) ? std::optional(InstanceName{std::string(name.substr(proxyPrefix.size()))}) : std::nullopt;
}

FleetObject decodeFleetObject(const StoredObject &object)
{
    const std::string_view name = object.name.text();
    if (name == leaseName) {
        return leaseOf(object);
    }
    if (name.starts_with(recordPrefix)) {
        return recordOf(object, GroupName{std::string(name.substr(recordPrefix.size()))});
    }
    if (const auto instance = instanceOf(object)) {
        return proxyOf(object, *instance);
    }
    return std::monostate{};
}

bool isReadable(const FleetObject &decoded)
{
    if (const auto *lease = std::get_if<LeaseState>(&decoded)) {
        return lease->holder != unknownHolder();
    }
    if (const auto *record = std::get_if<GroupRecord>(&decoded)) {
        return !record->primary.empty() || record->confirmed();
    }
    const auto *proxy = std::get_if<ProxyEntry>(&decoded);
    return proxy == nullptr || !proxy->address.empty();
}

} // namespace cardamomstep::leadership
