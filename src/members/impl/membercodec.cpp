// JSON encoding of the members' messages.
#include "members/impl/membercodec.h"

#include "json/untrusted.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace cardamomstep::impl {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<std::string_view, Refusal>, 6> refusalNames{{
    {"lower-term", Refusal::LowerTerm},
    {"not-primary", Refusal::NotPrimary},
    {"request-id-reused", Refusal::RequestIdReused},
    {"transaction-unknown", Refusal::TransactionUnknown},
    {"statement-failed", Refusal::StatementFailed},
    {"leaving", Refusal::Leaving},
}};

std::optional<Refusal> refusalFromName(std::string_view name)
{
    for (const auto &[text, refusal] : refusalNames) {
        if (text == name) {
            return refusal;
        }
    }
    return std::nullopt;
}

std::optional<std::string> textField(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<bool> flagField(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_boolean()) {
        return std::nullopt;
    }
    return found->get<bool>();
}

std::optional<Term> termField(const Json &object, const char *key)
{
    const auto text = textField(object, key);
    if (!text) {
        return std::nullopt;
    }
    const auto term = parseTerm(*text);
    return term ? std::optional<Term>(*term) : std::nullopt;
}

std::optional<LogPosition> positionField(const Json &object, const char *key)
{
    const auto text = textField(object, key);
    if (!text) {
        return std::nullopt;
    }
    const auto position = parseLogPosition(*text);
    return position ? std::optional<LogPosition>(*position) : std::nullopt;
}

std::uint64_t decimalNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Parses \a body as an object; returns a discarded value if it is anything else.
Json parseObject(const std::string &body)
{
    auto value = json::parseUntrusted(body);
    return value.is_object() ? value : Json(Json::value_t::discarded);
}

std::optional<MemberReport> reportFrom(const Json &object)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto member = textField(object, "member");
    const auto role = textField(object, "role");
    const auto adopted = termField(object, "adopted");
    const auto log = positionField(object, "log");
    const auto leaving = flagField(object, "leaving");
    const bool knownRole = role && (*role == "primary" || *role == "replica");
    if (!member || !knownRole || !adopted || !log || !leaving) {
        return std::nullopt;
    }
    const auto memberRole = *role == "primary" ? MemberRole::Primary : MemberRole::Replica;
    return MemberReport{MemberName{*member}, memberRole, *adopted, *log, *leaving};
}

/// Reads "rows" and "rowCount"; returns false if they are malformed or disagree.
bool readRows(const Json &object, std::string &rows, std::uint64_t &rowCount)
{
    const auto found = object.find("rows");
    const auto count = object.find("rowCount");
    if (found == object.end() || !found->is_array() || count == object.end() || !count->is_number_unsigned()) {
        return false;
    }
    rowCount = count->get<std::uint64_t>();
    rows = found->dump();
    return rowCount == found->size();
}

} // namespace

std::string encodeCall(const MemberCall &call)
{
    Json object{
        {"exchange", call.exchange},
        {"term", toText(call.term)},
        {"write", call.write},
        {"needsPrimary", call.needsPrimary},
        {"operation", call.operation},
        {"key", call.key},
        {"requestId", call.requestId.text()},
        {"fingerprint", std::to_string(call.fingerprint)},
    };
    auto arguments = json::parseUntrusted(call.arguments);
    object["arguments"] = arguments.is_discarded() ? Json::object() : std::move(arguments);
    if (!call.transaction.empty()) {
        object["transaction"] = call.transaction;
    }
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<MemberReport> decodeReport(const std::string &body)
{
    return reportFrom(parseObject(body));
}

std::optional<TermReply> decodeTermReply(const std::string &body)
{
    const auto object = parseObject(body);
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto accepted = flagField(object, "accepted");
    const auto report = reportFrom(object.value("report", Json()));
    if (!accepted || !report) {
        return std::nullopt;
    }
    return TermReply{*accepted, *report};
}

std::optional<OutcomeReply> decodeOutcome(const std::string &body)
{
    const auto object = parseObject(body);
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto found = flagField(object, "found");
    const auto report = reportFrom(object.value("report", Json()));
    if (!found || !report) {
        return std::nullopt;
    }
    OutcomeReply reply;
    reply.found = *found;
    reply.report = *report;
    if (!reply.found) {
        return reply;
    }
    const auto position = positionField(object, "mark");
    const auto fingerprint = textField(object, "fingerprint");
    if (!position || !fingerprint || !readRows(object, reply.rows, reply.rowCount)) {
        return std::nullopt;
    }
    reply.position = *position;
    reply.fingerprint = decimalNumber(*fingerprint);
    return reply;
}

std::optional<MemberReply> decodeReply(const std::string &body, const std::string &exchange)
{
    const auto object = parseObject(body);
    if (!object.is_object() || textField(object, "exchange") != exchange) {
        return std::nullopt;
    }
    MemberReply reply;
    reply.exchange = exchange;
    reply.description = textField(object, "description").value_or("");
    const auto adopted = termField(object, "adopted");
    const auto position = positionField(object, "mark");
    if (!adopted || !position) {
        return std::nullopt;
    }
    reply.adopted = *adopted;
    reply.position = *position;
    if (const auto name = textField(object, "refusal")) {
        reply.refusal = refusalFromName(*name);
        return reply.refusal ? std::optional<MemberReply>(reply) : std::nullopt;
    }
    if (!readRows(object, reply.rows, reply.rowCount)) {
        return std::nullopt;
    }
    reply.transaction = textField(object, "transaction").value_or("");
    reply.repeated = flagField(object, "repeated").value_or(false);
    return reply;
}

std::string encodeTerm(Term term)
{
    return Json{{"term", toText(term)}}.dump();
}

std::string encodeFollow(Term term, const MemberName &primary, const Address &address)
{
    return Json{{"term", toText(term)}, {"primary", primary.text()}, {"address", address.text()}}.dump();
}

std::string encodeOutcome(const RequestId &id)
{
    return Json{{"requestId", id.text()}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace cardamomstep::impl
