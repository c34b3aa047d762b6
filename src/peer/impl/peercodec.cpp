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
    message.set_revision(objects.revision);
    message.set_complete(objects.complete);
    for (const auto &object : objects.objects) {
        auto *entry = message.add_objects();
        entry->set_kind(object.kind);
        entry->set_name(object.name);
        entry->set_version(object.version);
        entry->set_value(object.value);
        entry->set_deleted(object.deleted);
    }
    return message;
}

Objects decode(const wire::ObjectsMessage &message)
{
    Objects objects{InstanceName{message.from()}, message.revision(), {}, message.complete()};
    for (const auto &entry : message.objects()) {
        objects.objects.push_back({entry.kind(), entry.name(), entry.version(), entry.value(), entry.deleted()});
    }
    return objects;
}

wire::DigestMessage encode(const Digest &digest)
{
    wire::DigestMessage message;
    message.set_from(digest.from.text());
    message.set_revision(digest.revision);
    message.set_digest(digest.digest);
    return message;
}

Digest decode(const wire::DigestMessage &message)
{
    return {InstanceName{message.from()}, message.revision(), message.digest()};
}

wire::SightingMessage encode(const Sighting &sighting)
{
    wire::SightingMessage message;
    message.set_from(sighting.from.text());
    message.set_group(sighting.group.text());
    for (const auto &member : sighting.members) {
        auto *entry = message.add_members();
        entry->set_member(member.member.text());
        entry->set_age_us(member.age ? member.age->count() : absent);
        entry->set_adopted(toText(member.adopted));
        entry->set_log(toText(member.log));
        entry->set_primary(member.primary);
        entry->set_leaving(member.leaving);
    }
    return message;
}

Sighting decode(const wire::SightingMessage &message)
{
    Sighting sighting{InstanceName{message.from()}, GroupName{message.group()}, {}};
    for (const auto &entry : message.members()) {
        MemberSighting member;
        member.member = MemberName{entry.member()};
        if (entry.age_us() >= 0) {
            member.age = Microseconds{entry.age_us()};
        }
        const auto adopted = parseTerm(entry.adopted());
        member.adopted = adopted ? *adopted : Term{};
        member.log = markOrNone(entry.log());
        member.primary = entry.primary();
        member.leaving = entry.leaving();
        sighting.members.push_back(std::move(member));
    }
    return sighting;
}

} // namespace cardamomstep::peer::impl
