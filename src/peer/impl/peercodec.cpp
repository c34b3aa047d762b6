// Conversions between plain messages and the generated gRPC ones.
#include "peer/impl/peercodec.h"

#include <algorithm>

namespace cardamomstep::peer::impl {

namespace {

constexpr std::int64_t absent = -1;

template<typename Entries>
void encodeEntries(const std::vector<MemberEntry> &from, Entries *to)
{
    for (const auto &entry : from) {
        auto *message = to->Add();
        message->set_name(entry.name.text());
        message->set_domain(entry.domain.text());
        message->set_address(entry.address.text());
        message->set_incarnation(entry.incarnation);
        message->set_state(static_cast<std::uint32_t>(entry.state));
        message->set_revision(entry.revision);
        message->mutable_forms()->Add(entry.forms.begin(), entry.forms.end());
    }
}

template<typename Entries>
std::vector<MemberEntry> decodeEntries(const Entries &from)
{
    std::vector<MemberEntry> result;
    for (const auto &message : from) {
        MemberEntry entry;
        entry.name = InstanceName{message.name()};
        entry.domain = FailureDomain{message.domain()};
        entry.address = Address{message.address()};
        entry.incarnation = message.incarnation();
        entry.state = static_cast<EntryState>(std::min<std::uint32_t>(message.state(), static_cast<std::uint32_t>(EntryState::Leaving)));
        entry.revision = message.revision();
        entry.forms.assign(message.forms().begin(), message.forms().end());
        result.push_back(std::move(entry));
    }
    return result;
}

Mark markOrNone(const std::string &text)
{
    const auto mark = parseMark(text);
    return mark ? *mark : Mark{};
}

Term termOrNone(const std::string &text)
{
    const auto term = parseTerm(text);
    return term ? *term : Term{};
}

Ran ranFromWire(std::uint32_t value)
{
    return value <= static_cast<std::uint32_t>(Ran::Unknown) ? static_cast<Ran>(value) : Ran::Unknown;
}

} // namespace

wire::StatementRequest encode(const Statement &statement, Microseconds remaining)
{
    wire::StatementRequest message;
    message.set_verb(static_cast<std::uint32_t>(statement.verb));
    message.set_service(statement.service.text());
    message.set_group(statement.group.text());
    message.set_write(statement.access == Access::Write);
    message.set_operation(statement.operation);
    message.set_key(statement.key);
    message.set_arguments(statement.arguments);
    message.set_remaining_us(remaining.count());
    message.set_accepted_age_ms(statement.acceptedAge ? statement.acceptedAge->count() : absent);
    message.set_request_id(statement.requestId.text());
    message.set_idempotent(statement.idempotent);
    message.set_transaction(statement.transaction.text());
    message.set_session(statement.session);
    return message;
}

Statement decode(const wire::StatementRequest &message)
{
    Statement statement;
    statement.verb = static_cast<Verb>(std::min<std::uint32_t>(message.verb(), static_cast<std::uint32_t>(Verb::Outcome)));
    statement.service = ServiceName{message.service()};
    statement.group = GroupName{message.group()};
    statement.access = message.write() ? Access::Write : Access::Read;
    statement.operation = message.operation();
    statement.key = message.key();
    statement.arguments = message.arguments();
    statement.window = wholeMilliseconds(Microseconds{message.remaining_us()});
    if (message.accepted_age_ms() >= 0) {
        statement.acceptedAge = Milliseconds{message.accepted_age_ms()};
    }
    statement.requestId = RequestId{message.request_id()};
    statement.idempotent = message.idempotent();
    statement.transaction = TransactionId{message.transaction()};
    statement.session = message.session();
    return statement;
}

wire::StatementReply encode(const Answer &answer)
{
    wire::StatementReply message;
    message.set_ran(static_cast<std::uint32_t>(answer.ran));
    message.set_retry_after_ms(absent);
    if (answer.error) {
        message.set_error(std::string(answerRule(answer.error->kind).name));
        message.set_description(answer.error->description);
        message.set_retry_after_ms(answer.error->retryAfter ? answer.error->retryAfter->count() : absent);
    }
    message.set_rows(answer.rows);
    message.set_row_count(answer.rowCount);
    message.set_session(answer.session);
    message.set_served_by(answer.servedBy.text());
    message.set_from_replica(answer.fromReplica);
    message.set_request_id(answer.requestId.text());
    message.set_transaction(answer.transaction.text());
    message.set_mark(toText(answer.mark));
    return message;
}

Answer decode(const wire::StatementReply &message)
{
    Answer answer;
    answer.ran = ranFromWire(message.ran());
    if (!message.error().empty()) {
        auto kind = ErrorKind::Internal;
        if (!errorKindFromName(message.error(), kind)) {
            kind = ErrorKind::Internal;
        }
        answer.error = Error{kind, message.description()}.withRan(answer.ran);
        if (message.retry_after_ms() >= 0) {
            answer.error->retryAfter = Milliseconds{message.retry_after_ms()};
        }
    }
    answer.rows = message.rows();
    answer.rowCount = message.row_count();
    answer.session = message.session();
    answer.servedBy = MemberName{message.served_by()};
    answer.fromReplica = message.from_replica();
    answer.requestId = RequestId{message.request_id()};
    answer.transaction = TransactionId{message.transaction()};
    answer.mark = markOrNone(message.mark());
    return answer;
}

wire::PingRequest encode(const Ping &ping)
{
    wire::PingRequest message;
    message.set_from(ping.from.text());
    encodeEntries(ping.updates, message.mutable_updates());
    message.set_target(ping.target.text());
    return message;
}

Ping decode(const wire::PingRequest &message)
{
    return {InstanceName{message.from()}, decodeEntries(message.updates()), InstanceName{message.target()}};
}

wire::PingReply encode(const Pong &pong)
{
    wire::PingReply message;
    message.set_acknowledged(pong.acknowledged);
    encodeEntries(pong.updates, message.mutable_updates());
    return message;
}

Pong decode(const wire::PingReply &message)
{
    return {message.acknowledged(), decodeEntries(message.updates())};
}

wire::ObjectsMessage encode(const Objects &objects)
{
    wire::ObjectsMessage message;
    message.set_from(objects.from.text());
    message.set_after(objects.delta.after.value);
    message.set_up_to(objects.delta.upTo.value);
    message.set_whole(objects.delta.whole);
    for (const auto &object : objects.delta.changes) {
        auto *entry = message.add_objects();
        entry->set_kind(object.kind.text());
        entry->set_name(object.name.text());
        entry->set_version(object.version.value);
        entry->set_value(object.value);
        entry->set_deleted(object.deleted);
    }
    for (const auto &gap : objects.delta.gaps) {
        auto *entry = message.add_gaps();
        entry->set_after(gap.after.value);
        entry->set_up_to(gap.upTo.value);
    }
    return message;
}

Objects decode(const wire::ObjectsMessage &message)
{
    Objects objects;
    objects.from = InstanceName{message.from()};
    objects.delta.after = Revision{message.after()};
    objects.delta.upTo = Revision{message.up_to()};
    objects.delta.whole = message.whole();
    for (const auto &entry : message.objects()) {
        const StoredObject object{
            ObjectKind{entry.kind()}, ObjectName{entry.name()}, Revision{entry.version()}, entry.value(), entry.deleted()};
        objects.delta.changes.push_back(object);
    }
    for (const auto &gap : message.gaps()) {
        objects.delta.gaps.push_back({Revision{gap.after()}, Revision{gap.up_to()}});
    }
    return objects;
}

wire::DigestMessage encode(const Digest &digest)
{
    wire::DigestMessage message;
    message.set_from(digest.from.text());
    message.set_complete(digest.digest.complete.value);
    message.set_highest(digest.digest.highest.value);
    message.set_hash(digest.digest.hash);
    return message;
}

Digest decode(const wire::DigestMessage &message)
{
    return {InstanceName{message.from()}, {Revision{message.complete()}, Revision{message.highest()}, message.hash()}};
}

wire::SightingMessage encode(const Sighting &sighting)
{
    wire::SightingMessage message;
    message.set_from(sighting.from.text());
    message.set_group(sighting.group.text());
    message.set_primary(sighting.seen.primary.text());
    message.set_term(toText(sighting.seen.term));
    message.set_highest(toText(sighting.seen.highest));
    message.set_log(toText(sighting.seen.log));
    message.set_age_ms(sighting.seen.age.count());
    message.set_hold_ms(sighting.hold ? sighting.hold->count() : absent);
    return message;
}

Sighting decode(const wire::SightingMessage &message)
{
    Sighting sighting;
    sighting.from = InstanceName{message.from()};
    sighting.group = GroupName{message.group()};
    sighting.seen.primary = MemberName{message.primary()};
    sighting.seen.term = termOrNone(message.term());
    sighting.seen.highest = termOrNone(message.highest());
    sighting.seen.log = markOrNone(message.log());
    sighting.seen.age = Milliseconds{message.age_ms()};
    if (message.hold_ms() >= 0) {
        sighting.hold = Milliseconds{message.hold_ms()};
    }
    return sighting;
}

} // namespace cardamomstep::peer::impl
