// Field by field between plain values and generated messages.
#include "fleet/impl/fleetcodec.h"

namespace cardamomstep::fleet::impl {

namespace {

void fill(wire::Position &message, const Mark &mark)
{
    message.set_term(mark.term.number);
    message.set_number(mark.position);
}

Mark markOf(const wire::Position &message)
{
    return Mark{Term{message.term(), 0}, message.number()};
}

void fill(wire::Record &message, const leadership::GroupRecord &record)
{
    message.set_group(record.group.text());
    message.set_primary(record.primary.text());
    message.set_generation(record.generation);
    message.set_moving(record.changeInProgress);
    message.set_revision(record.revision.value);
}

leadership::GroupRecord recordOf(const wire::Record &message)
{
    leadership::GroupRecord record;
    record.group = GroupName{message.group()};
    record.primary = MemberName{message.primary()};
    record.generation = message.generation();
    record.changeInProgress = message.moving();
    record.revision = Revision{message.revision()};
    return record;
}

void fill(wire::CatalogMarks &message, const CatalogMarks &marks)
{
    message.set_configuration(marks.configuration.value);
    message.set_members(marks.members.value);
}

CatalogMarks marksOf(const wire::CatalogMarks &message)
{
    return {Revision{message.configuration()}, Revision{message.members()}};
}

} // namespace

wire::RenewRequest encode(const RenewRequest &request)
{
    wire::RenewRequest message;
    message.set_instance(request.instance.text());
    message.set_since_store_ms(request.sinceStore ? request.sinceStore->count() : -1);
    for (const auto &client : request.clients) {
        message.add_clients(client.text());
    }
    fill(*message.mutable_marks(), request.marks);
    for (const auto &sighting : request.sightings) {
        auto &entry = *message.add_sightings();
        entry.set_group(sighting.group.text());
        entry.set_generation(sighting.generation);
        entry.set_since_answer_ms(sighting.sinceAnswer ? sighting.sinceAnswer->count() : -1);
        entry.set_writes_stalled_ms(sighting.writesStalledFor.count());
        fill(*entry.mutable_acknowledged(), sighting.acknowledged);
    }
    return message;
}

RenewRequest decode(const wire::RenewRequest &message)
{
    RenewRequest request;
    request.instance = InstanceName{message.instance()};
    if (message.since_store_ms() >= 0) {
        request.sinceStore = Milliseconds{message.since_store_ms()};
    }
    for (const auto &client : message.clients()) {
        request.clients.emplace_back(client);
    }
    request.marks = marksOf(message.marks());
    for (const auto &entry : message.sightings()) {
        leadership::PrimaryObservation sighting;
        sighting.group = GroupName{entry.group()};
        sighting.generation = entry.generation();
        if (entry.since_answer_ms() >= 0) {
            sighting.sinceAnswer = Milliseconds{entry.since_answer_ms()};
        }
        sighting.writesStalledFor = Milliseconds{entry.writes_stalled_ms()};
        sighting.acknowledged = markOf(entry.acknowledged());
        request.sightings.push_back(std::move(sighting));
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
    message.set_holder_since_store_ms(reply.holderSinceStore ? reply.holderSinceStore->count() : -1);
    fill(*message.mutable_marks(), reply.marks);
    message.set_yielded_fence(reply.yieldedFence);
    for (const auto &record : reply.records) {
        fill(*message.add_records(), record);
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
        reply.holderSinceStore = Milliseconds{message.holder_since_store_ms()};
    }
    reply.marks = marksOf(message.marks());
    reply.yieldedFence = message.yielded_fence();
    for (const auto &record : message.records()) {
        reply.records.push_back(recordOf(record));
    }
    return reply;
}

wire::AnnounceRequest encode(const Announcement &announcement)
{
    wire::AnnounceRequest message;
    fill(*message.mutable_record(), announcement.record);
    message.set_drain_ms(announcement.drain.count());
    return message;
}

Announcement decode(const wire::AnnounceRequest &message)
{
    return {recordOf(message.record()), Milliseconds{message.drain_ms()}};
}

wire::AnnounceReply encode(const HoldReply &reply)
{
    wire::AnnounceReply message;
    fill(*message.mutable_acknowledged(), reply.acknowledged);
    message.set_uptime_ms(reply.uptime.count());
    return message;
}

HoldReply decode(const wire::AnnounceReply &message)
{
    return {markOf(message.acknowledged()), Milliseconds{message.uptime_ms()}};
}

} // namespace cardamomstep::fleet::impl
