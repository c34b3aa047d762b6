// Conversions between plain messages and the generated gRPC ones.
#include "peer/impl/peercodec.h"

#include <algorithm>

namespace cardamomstep::peer::impl {

namespace {

constexpr std::int64_t absent = -1;

template<typename Updates>
void encodeUpdates(const std::vector<SharedUpdate> &from, Updates *to)
{
    for (const auto &update : from) {
        auto *message = to->Add();
        message->set_name(update->instance.name.text());
        message->set_domain(update->instance.domain.text());
        message->set_address(update->instance.address.text());
        message->set_incarnation(update->incarnation);
        message->set_state(static_cast<std::uint32_t>(update->state));
        for (const auto &form : update->forms) {
            auto *entry = message->add_forms();
            entry->set_kind(form.kind.text());
            entry->set_version(form.version);
        }
    }
}

template<typename Updates>
std::vector<SharedUpdate> decodeUpdates(const Updates &from)
{
    std::vector<SharedUpdate> result;
    for (const auto &message : from) {
        MemberUpdate update;
        update.instance = {InstanceName{message.name()}, FailureDomain{message.domain()}, Address{message.address()}};
        update.incarnation = message.incarnation();
        update.state = static_cast<ProxyState>(std::min<std::uint32_t>(message.state(), static_cast<std::uint32_t>(ProxyState::Dead)));
        for (const auto &form : message.forms()) {
            update.forms.push_back({ObjectKind{form.kind()}, form.version()});
        }
        result.push_back(std::make_shared<const MemberUpdate>(std::move(update)));
    }
    return result;
}

wire::DeltaMessage encodeDelta(const ConfigurationDelta &delta)
{
    wire::DeltaMessage message;
    message.set_after(delta.after.value);
    message.set_up_to(delta.upTo.value);
    message.set_whole(delta.isFullState);
    for (const auto &object : delta.changes) {
        auto *entry = message.add_changes();
        entry->set_kind(object.kind.text());
        entry->set_name(object.name.text());
        entry->set_version(object.version.value);
        entry->set_value(object.value);
        entry->set_deleted(object.deleted);
    }
    for (const auto &gap : delta.gaps) {
        auto *entry = message.add_gaps();
        entry->set_after(gap.after.value);
        entry->set_up_to(gap.upTo.value);
    }
    return message;
}

ConfigurationDelta decodeDelta(const wire::DeltaMessage &message)
{
    ConfigurationDelta delta;
    delta.after = Revision{message.after()};
    delta.upTo = Revision{message.up_to()};
    delta.isFullState = message.whole();
    for (const auto &entry : message.changes()) {
        delta.changes.push_back(
            {ObjectKind{entry.kind()}, ObjectName{entry.name()}, Revision{entry.version()}, entry.value(), entry.deleted()});
    }
    for (const auto &gap : message.gaps()) {
        delta.gaps.push_back({Revision{gap.after()}, Revision{gap.up_to()}});
    }
    return delta;
}

LogPosition positionOrNone(const std::string &text)
{
    const auto logPosition = parseLogPosition(text);
    return logPosition ? *logPosition : LogPosition{};
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
    message.set_mark(toText(answer.position));
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
    answer.position = positionOrNone(message.mark());
    return answer;
}

wire::PingMessage encode(const Ping &ping)
{
    wire::PingMessage message;
    message.set_from(ping.message.from.text());
    message.set_configuration(ping.message.configuration.value);
    message.set_introduce(ping.message.requestReceiverUpdate);
    encodeUpdates(ping.message.updates, message.mutable_updates());
    message.set_target(ping.target.text());
    message.set_answered(ping.answered);
    return message;
}

Ping decode(const wire::PingMessage &message)
{
    Ping ping;
    ping.message.from = InstanceName{message.from()};
    ping.message.configuration = Revision{message.configuration()};
    ping.message.requestReceiverUpdate = message.introduce();
    ping.message.updates = decodeUpdates(message.updates());
    ping.target = Address{message.target()};
    ping.answered = message.answered();
    return ping;
}

wire::SnapshotReply encode(const std::vector<SharedUpdate> &updates)
{
    wire::SnapshotReply message;
    encodeUpdates(updates, message.mutable_updates());
    return message;
}

std::vector<SharedUpdate> decode(const wire::SnapshotReply &message)
{
    return decodeUpdates(message.updates());
}

wire::SpreadMessage encode(const GossipMessage &gossip)
{
    wire::SpreadMessage message;
    message.set_from(gossip.from.text());
    message.set_domain(gossip.domain.text());
    message.mutable_digest()->set_complete(gossip.digest.complete.value);
    message.mutable_digest()->set_highest(gossip.digest.highest.value);
    message.mutable_digest()->set_hash(gossip.digest.hash);
    if (gossip.delta) {
        *message.mutable_delta() = encodeDelta(*gossip.delta);
    }
    if (gossip.confirmation) {
        message.mutable_confirmation()->set_revision(gossip.confirmation->revision.value);
        message.mutable_confirmation()->set_age_ms(gossip.confirmation->age.count());
    }
    for (const auto &domainAge : gossip.domainAges) {
        auto *entry = message.add_heard();
        entry->set_domain(domainAge.domain.text());
        entry->set_age_ms(domainAge.age.count());
    }
    return message;
}

GossipMessage decode(const wire::SpreadMessage &message)
{
    GossipMessage gossip;
    gossip.from = InstanceName{message.from()};
    gossip.domain = FailureDomain{message.domain()};
    const auto &digest = message.digest();
    gossip.digest = {Revision{digest.complete()}, Revision{digest.highest()}, digest.hash()};
    if (message.has_delta()) {
        gossip.delta = decodeDelta(message.delta());
    }
    if (message.has_confirmation()) {
        gossip.confirmation = StoreConfirmation{Revision{message.confirmation().revision()}, Milliseconds{message.confirmation().age_ms()}};
    }
    for (const auto &domainAge : message.heard()) {
        gossip.domainAges.push_back({FailureDomain{domainAge.domain()}, Milliseconds{domainAge.age_ms()}});
    }
    return gossip;
}

wire::SightingMessage encode(const GroupObservation &observation)
{
    wire::SightingMessage message;
    message.set_from(observation.from.text());
    message.set_group(observation.group.text());
    message.set_primary(observation.observation.primary.text());
    message.set_term(toText(observation.observation.term));
    message.set_highest(toText(observation.observation.highest));
    message.set_log(toText(observation.observation.log));
    message.set_age_ms(observation.observation.contactAge.count());
    message.set_hold_ms(observation.writePause ? observation.writePause->count() : absent);
    message.set_revision(observation.revision.value);
    message.set_transactions(observation.openTransactions);
    for (const auto &member : observation.busyMembers) {
        message.add_busy(member.text());
    }
    return message;
}

GroupObservation decode(const wire::SightingMessage &message)
{
    GroupObservation observation;
    observation.from = InstanceName{message.from()};
    observation.group = GroupName{message.group()};
    observation.observation.primary = MemberName{message.primary()};
    observation.observation.term = termOrNone(message.term());
    observation.observation.highest = termOrNone(message.highest());
    observation.observation.log = positionOrNone(message.log());
    observation.observation.contactAge = Milliseconds{message.age_ms()};
    if (message.hold_ms() >= 0) {
        observation.writePause = Milliseconds{message.hold_ms()};
    }
    observation.revision = Revision{message.revision()};
    observation.openTransactions = message.transactions();
    for (const auto &member : message.busy()) {
        observation.busyMembers.emplace_back(member);
    }
    return observation;
}

} // namespace cardamomstep::peer::impl
