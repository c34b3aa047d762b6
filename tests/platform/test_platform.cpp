// Tests of the platform's line protocol and of the JSON of its store, with malformed input.
#include "platform/lineprotocol.h"
#include "platform/objectforms.h"

#include <criterion/criterion.h>

using namespace cardamomstep;
using namespace cardamomstep::platform;
using namespace cardamomstep::relay;

namespace {

SessionStatement statementOf(const std::string &line)
{
    const auto message = LineProtocol::parseCaller(line);
    cr_assert(std::holds_alternative<SessionStatement>(message), "%s", line.c_str());
    return std::get<SessionStatement>(message);
}

} // namespace

Test(platform, parsesStatementsAndKeepsTheirText)
{
    const auto read = statementOf("QUERY 5c0e READ 1a4");
    cr_assert(read.kind == StatementKind::Read && read.id == "5c0e" && read.text == "READ 1a4");
    const auto prepare = statementOf("QUERY 5c0e PREPARE s1 WRITE q2c");
    cr_assert(prepare.kind == StatementKind::Prepare && prepare.name == "s1" && prepare.access == Access::Write);
    cr_assert(prepare.argument == "q2c");
    const auto execute = statementOf("QUERY 5c0e EXECUTE s1 1a4 xkq pwnzd");
    cr_assert(execute.kind == StatementKind::Execute && execute.name == "s1" && execute.argument == "1a4 xkq pwnzd");
    cr_assert(statementOf("QUERY 5c0e BEGIN READ").readOnly);
    cr_assert(statementOf("QUERY 5c0e FLY away").kind == StatementKind::Malformed);
    cr_assert(statementOf("QUERY 5c0e AFTER 3.1 READ 1a4").kind == StatementKind::Malformed, "only proxies send positions");
}

Test(platform, reportsMalformedCallerLines)
{
    for (const char *line : {"", "QUERY", "QUERY 1", "QUERY - STATUS", "START", "HELLO", "\x01\xff", "QUERY  READ 1"}) {
        cr_assert(std::holds_alternative<UnreadableLine>(LineProtocol::parseCaller(line)), "%s", line);
    }
}

// A member that also accepts other line ends would take a part of such a text for another statement.
Test(platform, aStatementThatHoldsALineEndIsRefusedAsAWhole)
{
    for (const char *text :
         {"WRITE a 1\nQUERY x WRITE b 2", "WRITE a 1\r", "READ a\rb", "SET name\n value", "PREPARE s\n READ shape", "COMMIT\n"}) {
        const auto statement = statementOf("QUERY 5c0e " + std::string(text));
        cr_assert(statement.kind == StatementKind::Malformed && statement.id == "5c0e", "%s", text);
    }
    for (const char *line : {"QUERY 5c\n0e READ 1a4", "START db\nQUERY who", "START db key\r", "TERMINATE\n"}) {
        cr_assert(std::holds_alternative<UnreadableLine>(LineProtocol::parseCaller(line)), "%s", line);
    }
}

Test(platform, parsesMemberReplies)
{
    cr_assert(std::get<MemberSuccess>(LineProtocol::parseMember("COMPLETE 7.1f3.c")).signature == "7.1f3.c");
    cr_assert(std::get<MemberSuccess>(LineProtocol::parseMember("COMPLETE -")).signature.empty());
    cr_assert(std::get<MemberError>(LineProtocol::parseMember("ERROR LAGGING i-7")).fault == MemberFault::Lagging);
    cr_assert(std::get<MemberError>(LineProtocol::parseMember("ERROR NEWCODE x")).fault == MemberFault::Unknown);
    const auto ready = std::get<MemberReady>(LineProtocol::parseMember("READY E 3.1209"));
    cr_assert(ready.state == SessionState::Failed && ready.position == (LogPosition{Term{3, 0}, 1209}));
    const auto status = LineProtocol::parseStatusReply("replica 3 3.1209 0 12 2 17");
    cr_assert(status && !status->primary && status->term == 3 && status->received.index == 1209);
    cr_assert(!LineProtocol::parseStatusReply("replica x"));
}

Test(platform, formatsMemberRequests)
{
    std::string out;
    MemberRequest read;
    read.id = "5c0e";
    read.text = "READ 1a4";
    read.minPosition = LogPosition{Term{3, 0}, 1207};
    LineProtocol::appendMemberRequest(out, read);
    cr_assert(out == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
    out.clear();
    LineProtocol::appendMemberRequest(out, MemberRequest{MemberVerb::Pause, {}, "4"});
    cr_assert(out == "QUERY - PAUSE 4\r\n");
}

Test(platform, errorCodesKeepTheGuaranteeOfTheError)
{
    std::string out;
    CallerReply reply;
    reply.error = Error{ErrorKind::OutcomeUnknown, "lost"};
    LineProtocol::appendReply(out, reply);
    cr_assert(out.starts_with("ERROR INDOUBT"));
    out.clear();
    reply.error = Error{ErrorKind::Overloaded, "full\r\nERROR"}.withRetryAfter(Milliseconds{40});
    LineProtocol::appendReply(out, reply);
    cr_assert(out == "ERROR BUSY full  ERROR; retry after 40 ms\r\nREADY I -\r\n");
    // A code that guarantees that nothing ran must not be sent for an error whose statement may have run.
    for (std::size_t index = 0; index < errorKindCount; ++index) {
        const Error error{static_cast<ErrorKind>(index), "x"};
        out.clear();
        LineProtocol::appendRefusal(out, error);
        const bool guaranteesNothingRan = out.starts_with("ERROR BUSY") || out.starts_with("ERROR ABORTED")
            || out.starts_with("ERROR LAGGING") || out.starts_with("ERROR READONLY");
        cr_assert(!guaranteesNothingRan || error.ran == Ran::No, "%s", out.c_str());
    }
}

Test(platform, decodesConfigurations)
{
    const auto configuration = decodeConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"db","kind":"read_your_writes","timeoutMs":800,"targetLatencyMs":250,"priority":2,
            "service":"g","maxStalenessMs":2500},{"host":"x"}],"services":[{"name":"g","maxConns":16,"syncReplicas":1}],
            "limits":{"txIdleMs":3000},"new":true})");
    cr_assert(configuration && configuration->version == 7);
    cr_assert(configuration->routes.size() == 1, "an invalid route is skipped");
    cr_assert(configuration->routes.front().consistency == Consistency::ReadYourWrites);
    cr_assert(configuration->routes.front().maxStaleness == Milliseconds{2500});
    cr_assert(configuration->groups.front().memberConnections == 16);
    cr_assert(!decodeConfiguration("[]"));
}

Test(platform, ignoresInvalidMemberEntries)
{
    const ObjectName name{"i-7"};
    const std::string good =
        R"({"service":"g","address":"10.0.0.1:1","zone":"z","slots":2,"state":"ready","currentRole":"primary","born":12})";
    const auto entry = decodeMember(name, good);
    cr_assert(entry && entry->claimsPrimary && entry->startedAt == 12 && !entry->draining);
    for (const char *bad : {"{",
                            "null",
                            R"({"service":7})",
                            R"({"service":"g","address":"a","zone":"z","slots":2,"state":"odd"})",
                            R"({"service":"g","address":"a","zone":"z","slots":"two","state":"ready"})"}) {
        cr_assert(!decodeMember(name, bad), "%s", bad);
    }
}

Test(platform, decodesListingsAndChanges)
{
    const ObjectKind kind{"servers"};
    const auto page = decodeListing(
        kind, StoreEpoch{}, R"({"items":[{"meta":{"name":"a","revision":4},"spec":{"x":1}},{"odd":1}],"more":true,"asOf":9})");
    cr_assert(page && page->more && page->listing.revision.value == 9 && page->listing.objects.size() == 1);
    cr_assert(page->last == ObjectName{"a"});
    const auto changes = decodeChanges(
        kind, Revision{9}, R"({"events":[{"deleted":true,"object":{"meta":{"name":"a","revision":10},"spec":null}}],"asOf":10})");
    cr_assert(changes && changes->changes.size() == 1 && changes->changes.front().deleted);
    cr_assert(!decodeListing(kind, StoreEpoch{}, "{\"items\":"));
}
