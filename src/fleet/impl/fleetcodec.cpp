// Conversions between plain messages and the generated gRPC ones.
#include "fleet/impl/fleetcodec.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cardamomstep::fleet::impl {

namespace {

/// A longer time than any timeout counts as never.
constexpr std::int64_t longestAgeMs = 3'600'000;

void fill(wire::Position &message, const LogPosition &position)
{
    message.set_term(position.term.number);
    message.set_number(position.index);
}

LogPosition positionOf(const wire::Position &message)
{
    return LogPosition{Term{message.term(), 0}, message.number()};
}

void fill(wire::Record &message, const leadership::GroupRecord &record)
{
    message.set_group(record.group.text());
    message.set_primary(record.primary.text());
    message.set_generation(record.generation);
    message.set_moving(record.changeInProgress);
    message.set_revision(record.revision.value);
    message.set_epoch(record.revision.epoch.value);
}

leadership::GroupRecord recordOf(const wire::Record &message)
{
    leadership::GroupRecord record;
    record.group = GroupName{message.group()};
    record.primary = MemberName{message.primary()};
    record.generation = message.generation();
    record.changeInProgress = message.moving();
    record.revision = Revision{message.revision(), StoreEpoch{message.epoch()}};
    // Proxies exchange confirmed records only.
    record.writtenIn = record.revision.epoch;
    return record;
}

void fill(wire::CatalogMarks &message, const CatalogRevisions &revisions)
{
    message.set_configuration(revisions.configuration.value);
    message.set_members(revisions.members.value);
    message.set_configuration_epoch(revisions.configuration.epoch.value);
    message.set_members_epoch(revisions.members.epoch.value);
    message.set_proxies(revisions.proxies.value);
    message.set_proxies_epoch(revisions.proxies.epoch.value);
}

CatalogRevisions revisionsOf(const wire::CatalogMarks &message)
{
    return {Revision{message.configuration(), StoreEpoch{message.configuration_epoch()}},
            Revision{message.members(), StoreEpoch{message.members_epoch()}},
            Revision{message.proxies(), StoreEpoch{message.proxies_epoch()}}};
}

void fill(wire::RelayedPart &message, const RelayedPart &part)
{
    message.set_part(static_cast<std::uint32_t>(part.part));
    message.set_after(part.objects.after.value);
    message.set_after_epoch(part.objects.after.epoch.value);
    message.set_revision(part.objects.revision.value);
    message.set_epoch(part.objects.revision.epoch.value);
    message.set_whole(part.objects.whole);
    message.set_content(static_cast<std::uint32_t>(part.content));
    message.set_age_ms(part.age.count());
    for (const auto &object : part.objects.objects) {
        auto &entry = *message.add_objects();
        entry.set_name(object.name.text());
        entry.set_value(object.value);
        entry.set_revision(object.version.value);
        entry.set_epoch(object.version.epoch.value);
        entry.set_deleted(object.deleted);
    }
}

/// Returns nothing for a part that a later release may have added.
std::optional<RelayedPart> partOf(const wire::RelayedPart &message)
{
    if (message.part() >= catalogParts || message.content() > static_cast<std::uint32_t>(RelayedContent::Withheld) || message.age_ms() < 0
        || message.age_ms() > longestAgeMs) {
        return std::nullopt;
    }
    RelayedPart part;
    part.part = static_cast<CatalogPart>(message.part());
    part.content = static_cast<RelayedContent>(message.content());
    part.age = Milliseconds{message.age_ms()};
    part.objects.after = Revision{message.after(), StoreEpoch{message.after_epoch()}};
    part.objects.revision = Revision{message.revision(), StoreEpoch{message.epoch()}};
    part.objects.whole = message.whole();
    for (const auto &entry : message.objects()) {
        part.objects.objects.push_back({ObjectKind{},
                                        ObjectName{entry.name()},
                                        Revision{entry.revision(), StoreEpoch{entry.epoch()}},
                                        entry.value(),
                                        entry.deleted()});
    }
    return part;
}

} // namespace

wire::RenewRequest encode(const RenewRequest &request)
{
    wire::RenewRequest message;
    message.set_instance(request.instance.text());
    message.set_since_store_ms(request.sinceStoreReply ? request.sinceStoreReply->count() : -1);
    for (const auto &proxy : request.downstreamProxies) {
        message.add_clients(proxy.instance.text());
        message.add_client_ages_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(proxy.sinceContact.count(), 0, longestAgeMs)));
    }
    fill(*message.mutable_marks(), request.catalogRevisions);
    message.set_records_process(request.knownRecords.process);
    message.set_records_version(request.knownRecords.version);
    if (request.held) {
        fill(*message.mutable_held(), *request.held);
    }
    for (const auto &observation : request.observations) {
        auto &entry = *message.add_sightings();
        entry.set_group(observation.group.text());
        entry.set_generation(observation.generation);
        entry.set_since_answer_ms(observation.sinceLastReply ? observation.sinceLastReply->count() : -1);
        entry.set_writes_stalled_ms(observation.writesStalledFor.count());
        fill(*entry.mutable_acknowledged(), observation.acknowledged);
    }
    return message;
}

RenewRequest decode(const wire::RenewRequest &message)
{
    RenewRequest request;
    request.instance = InstanceName{message.instance()};
    if (message.since_store_ms() >= 0) {
        request.sinceStoreReply = Milliseconds{message.since_store_ms()};
    }
    for (int index = 0; index < message.clients_size(); ++index) {
        const auto age = index < message.client_ages_ms_size() ? message.client_ages_ms(index) : 0;
        request.downstreamProxies.push_back({InstanceName{message.clients(index)}, Milliseconds{age}});
    }
    request.catalogRevisions = revisionsOf(message.marks());
    request.knownRecords = {message.records_process(), message.records_version()};
    if (message.has_held()) {
        request.held = revisionsOf(message.held());
    }
    for (const auto &entry : message.sightings()) {
        leadership::PrimaryObservation observation;
        observation.group = GroupName{entry.group()};
        observation.generation = entry.generation();
        if (entry.since_answer_ms() >= 0) {
            observation.sinceLastReply = Milliseconds{entry.since_answer_ms()};
        }
        observation.writesStalledFor = Milliseconds{entry.writes_stalled_ms()};
        observation.acknowledged = positionOf(entry.acknowledged());
        request.observations.push_back(std::move(observation));
    }
    return request;
}

wire::RenewReply encode(const RenewReply &reply)
{
    wire::RenewReply message;
    message.set_granted(reply.granted);
    message.set_age_ms(reply.age.count());
    message.set_holder(reply.lease.holder.text());
    message.set_fence(reply.lease.fencingToken);
    message.set_renewals(reply.lease.renewals);
    message.set_lease_left_ms(reply.lease.remaining.count());
    message.set_holder_since_store_ms(reply.leaseHolderSinceStoreReply ? reply.leaseHolderSinceStoreReply->count() : -1);
    fill(*message.mutable_marks(), reply.catalogRevisions);
    message.set_yielded_fence(reply.relinquishedToken);
    message.set_table_epoch(reply.tableEpoch.value);
    for (const auto &part : reply.catalog) {
        fill(*message.add_catalog(), part);
    }
    message.set_catalog_age_ms_plus_1(reply.catalogAge ? static_cast<std::uint64_t>(reply.catalogAge->count()) + 1 : 0);
    message.set_records_process(reply.records.id.process);
    message.set_records_version(reply.records.id.version);
    message.set_records_base(reply.records.base);
    for (const auto &record : reply.records.changed) {
        fill(*message.add_records(), record);
    }
    for (const auto &group : reply.records.removed) {
        message.add_removed_records(group.text());
    }
    return message;
}

RenewReply decode(const wire::RenewReply &message)
{
    RenewReply reply;
    reply.granted = message.granted();
    reply.age = Milliseconds{message.age_ms()};
    reply.lease.holder = InstanceName{message.holder()};
    reply.lease.fencingToken = message.fence();
    reply.lease.renewals = message.renewals();
    reply.lease.remaining = Milliseconds{message.lease_left_ms()};
    if (message.holder_since_store_ms() >= 0) {
        reply.leaseHolderSinceStoreReply = Milliseconds{message.holder_since_store_ms()};
    }
    reply.catalogRevisions = revisionsOf(message.marks());
    reply.relinquishedToken = message.yielded_fence();
    reply.tableEpoch = StoreEpoch{message.table_epoch()};
    for (const auto &entry : message.catalog()) {
        if (auto part = partOf(entry)) {
            reply.catalog.push_back(std::move(*part));
        }
    }
    if (message.catalog_age_ms_plus_1() > 0 && message.catalog_age_ms_plus_1() <= longestAgeMs) {
        reply.catalogAge = Milliseconds{static_cast<std::int64_t>(message.catalog_age_ms_plus_1() - 1)};
    }
    reply.records.id = {message.records_process(), message.records_version()};
    reply.records.base = message.records_base();
    for (const auto &record : message.records()) {
        reply.records.changed.push_back(recordOf(record));
    }
    for (const auto &group : message.removed_records()) {
        reply.records.removed.emplace_back(group);
    }
    return reply;
}

wire::AnnounceRequest encode(const Announcement &announcement)
{
    wire::AnnounceRequest message;
    fill(*message.mutable_record(), announcement.record);
    message.set_drain_ms(announcement.drainTimeout.count());
    return message;
}

Announcement decode(const wire::AnnounceRequest &message)
{
    return {recordOf(message.record()), Milliseconds{message.drain_ms()}};
}

wire::AnnounceReply encode(const QuiesceReply &reply)
{
    wire::AnnounceReply message;
    fill(*message.mutable_acknowledged(), reply.acknowledged);
    message.set_uptime_ms(reply.uptime.count());
    return message;
}

QuiesceReply decode(const wire::AnnounceReply &message)
{
    return {positionOf(message.acknowledged()), Milliseconds{message.uptime_ms()}};
}

wire::BorrowRequest encode(const BorrowRequest &request)
{
    wire::BorrowRequest message;
    message.set_customer(request.customer.text());
    message.set_wanted(request.wanted);
    return message;
}

BorrowRequest decode(const wire::BorrowRequest &message)
{
    return {CustomerName{message.customer()}, message.wanted()};
}

wire::BorrowReply encode(const BorrowReply &reply)
{
    wire::BorrowReply message;
    message.set_granted(reply.granted);
    return message;
}

BorrowReply decode(const wire::BorrowReply &message)
{
    return {message.granted()};
}

} // namespace cardamomstep::fleet::impl
