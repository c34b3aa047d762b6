// Writes and reads the lines of a GroupMonitor's trace.
#include "trace/grouplines.h"

#include "trace/impl/values.h"

namespace cardamomstep::trace {

namespace {

using impl::Json;
using impl::write;

constexpr const char *machineName = "group-monitor";

class ActionWriter
{
public:
    Json operator()(const SendReport &action) const
    {
        return {{"kind", "send-report"},
                {"member", action.member.text()},
                {"waitMs", action.wait.count()},
                {"timeoutMs", action.timeout.count()}};
    }
    Json operator()(const SendAdopt &action) const
    {
        return order("send-adopt", action);
    }
    Json operator()(const SendLead &action) const
    {
        return order("send-lead", action);
    }
    Json operator()(const SendFollow &action) const
    {
        auto json = order("send-follow", action);
        json["primary"] = action.primary.text();
        json["address"] = action.address.text();
        return json;
    }
    Json operator()(const QueryPeers & /*action*/) const
    {
        return {{"kind", "ask-peers"}};
    }
    Json operator()(const PauseWrites &action) const
    {
        return {{"kind", "hold-writes"}, {"until", write(action.until)}};
    }
    Json operator()(const ResumeWrites & /*action*/) const
    {
        return {{"kind", "release-writes"}};
    }
    Json operator()(const PrimaryChanged &action) const
    {
        return {{"kind", "primary-changed"},
                {"member", action.member.text()},
                {"term", toText(action.term)},
                {"reason", toText(action.reason)},
                {"previous", action.previous.text()},
                {"detectedAt", write(action.detectedAt)},
                {"startedAt", write(action.startedAt)}};
    }
    Json operator()(const AuditEvent &action) const
    {
        return {{"kind", "note"},
                {"note", toText(action.kind)},
                {"member", action.member.text()},
                {"term", toText(action.term)},
                {"reason", toText(action.reason)}};
    }

private:
    template<typename Order>
    static Json order(const char *kind, const Order &action)
    {
        return {{"kind", kind}, {"member", action.member.text()}, {"term", toText(action.term)}, {"timeoutMs", action.timeout.count()}};
    }
};

class InputWriter
{
public:
    Json operator()(const Tick & /*input*/) const
    {
        return {{"kind", "tick"}};
    }
    Json operator()(const Report &input) const
    {
        return {{"kind", "report"}, {"member", input.member.text()}, {"report", write(input.report)}, {"sentAt", write(input.sentAt)}};
    }
    Json operator()(const ReportFailure &input) const
    {
        return {{"kind", "report-failure"}, {"member", input.member.text()}, {"failure", write(input.failure)}};
    }
    Json operator()(const OrderReply &input) const
    {
        return {{"kind", "order-reply"},
                {"member", input.member.text()},
                {"order", write(input.kind)},
                {"term", toText(input.term)},
                {"reply", write(input.reply)},
                {"sentAt", write(input.sentAt)}};
    }
    Json operator()(const OrderFailure &input) const
    {
        return {{"kind", "order-failure"},
                {"member", input.member.text()},
                {"order", write(input.kind)},
                {"term", toText(input.term)},
                {"failure", write(input.failure)}};
    }
    Json operator()(const Observation &input) const
    {
        return {{"kind", "peer-sighting"}, {"peer", input.peer.text()}, {"sighting", write(input.observation)}};
    }
    Json operator()(const StatementEvidence &input) const
    {
        return {{"kind", "statement-evidence"}, {"member", input.member.text()}};
    }
    Json operator()(const SetRank &input) const
    {
        return {{"kind", "set-rank"}, {"rank", input.rank}};
    }
    Json operator()(const SetMembers &input) const
    {
        return {{"kind", "set-members"}, {"members", write(input.members)}};
    }
    Json operator()(const SetPolicy &input) const
    {
        return {{"kind", "set-policy"}, {"policy", write(input.policy)}};
    }
    Json operator()(const RequestSwitchover &input) const
    {
        return {{"kind", "request-switchover"}, {"leaving", input.leaving.text()}};
    }
    Json operator()(const PeerWritePause &input) const
    {
        return {{"kind", "peer-hold"}, {"until", write(input.until)}};
    }
};

MemberName memberIn(const Json &json)
{
    return MemberName{json.at("member").get<std::string>()};
}

GroupInput readInput(const Json &json)
{
    const auto kind = json.at("kind").get<std::string>();
    if (kind == "tick") {
        return Tick{};
    }
    if (kind == "report") {
        return Report{memberIn(json), impl::readReport(json.at("report")), impl::readTime(json.at("sentAt"))};
    }
    if (kind == "report-failure") {
        return ReportFailure{memberIn(json), impl::readFailure(json.at("failure"))};
    }
    if (kind == "order-reply") {
        return OrderReply{memberIn(json),
                          impl::readOrder(json.at("order")),
                          impl::readTerm(json.at("term")),
                          impl::readReply(json.at("reply")),
                          impl::readTime(json.at("sentAt"))};
    }
    if (kind == "order-failure") {
        return OrderFailure{
            memberIn(json), impl::readOrder(json.at("order")), impl::readTerm(json.at("term")), impl::readFailure(json.at("failure"))};
    }
    if (kind == "peer-sighting") {
        return Observation{InstanceName{json.at("peer").get<std::string>()}, impl::readObservation(json.at("sighting"))};
    }
    if (kind == "statement-evidence") {
        return StatementEvidence{memberIn(json)};
    }
    if (kind == "set-rank") {
        return SetRank{json.at("rank").get<unsigned>()};
    }
    if (kind == "set-members") {
        return SetMembers{impl::readMembers(json.at("members"))};
    }
    if (kind == "set-policy") {
        return SetPolicy{impl::readPolicy(json.at("policy"))};
    }
    if (kind == "request-switchover") {
        return RequestSwitchover{MemberName{json.at("leaving").get<std::string>()}};
    }
    if (kind == "peer-hold") {
        return PeerWritePause{impl::readTime(json.at("until"))};
    }
    throw impl::BadValue("unknown input \"" + kind + "\"");
}

Error malformed(const std::exception &fault)
{
    return {ErrorKind::MalformedRequest, std::string("not a trace line: ") + fault.what()};
}

GroupStart startOf(const Json &json)
{
    return {GroupName{json.at("group").get<std::string>()},
            impl::readMembers(json.at("members")),
            json.at("rank").get<unsigned>(),
            impl::readPolicy(json.at("policy")),
            json.at("seed").get<std::uint64_t>(),
            impl::readTime(json.at("at"))};
}

GroupStep stepOf(const Json &json)
{
    GroupStep step;
    step.now = impl::readTime(json.at("at"));
    if (json.contains("outcome")) {
        step.outcome = json.at("outcome").dump();
        return step;
    }
    step.input = readInput(json.at("input"));
    for (const auto &action : json.at("actions")) {
        step.actions.push_back(action.dump());
    }
    return step;
}

} // namespace

std::string actionText(const GroupAction &action)
{
    return std::visit(ActionWriter{}, action).dump();
}

std::string outcomeText(const std::optional<PrimaryInfo> &primary)
{
    if (!primary) {
        return "null";
    }
    return Json{{"primary", primary->member.text()}, {"term", toText(primary->term)}, {"confirmed", primary->confirmed}}.dump();
}

std::string startLine(const GroupStart &start)
{
    return Json{{"trace", formatVersion},
                {"machine", machineName},
                {"group", start.group.text()},
                {"members", write(start.members)},
                {"rank", start.rank},
                {"policy", write(start.policy)},
                {"seed", start.seed},
                {"at", write(start.now)}}
        .dump();
}

std::string stepLine(const GroupInput &input, const GroupActions &actions, TimePoint now)
{
    Json json{{"at", write(now)}, {"input", std::visit(InputWriter{}, input)}, {"actions", Json::array()}};
    for (const auto &action : actions) {
        json["actions"].push_back(std::visit(ActionWriter{}, action));
    }
    return json.dump();
}

std::string outcomeLine(const std::optional<PrimaryInfo> &primary, TimePoint now)
{
    return Json{{"at", write(now)}, {"outcome", Json::parse(outcomeText(primary))}}.dump();
}

Result<GroupStart> readStart(std::string_view line)
{
    try {
        const auto json = Json::parse(line);
        const auto version = json.at("trace").get<std::string>();
        const auto machine = json.at("machine").get<std::string>();
        if (version != formatVersion || machine != machineName) {
            return Error{ErrorKind::UnsupportedVersion,
                         "cannot replay the format \"" + version + "\" of the state machine \"" + machine + "\""};
        }
        return startOf(json);
    } catch (const std::exception &fault) {
        return malformed(fault);
    }
}

Result<GroupStep> readStep(std::string_view line)
{
    try {
        return stepOf(Json::parse(line));
    } catch (const std::exception &fault) {
        return malformed(fault);
    }
}

} // namespace cardamomstep::trace
