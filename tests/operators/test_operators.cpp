// Tests of the operators' interface: authorization, checks of changes, races, the audit trail, status and watches.
#include "base/random.h"
#include "operators/fakes.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <set>
#include <thread>

using namespace cardamomstep;
using namespace cardamomstep::operators;
using Json = nlohmann::json;
using test::groupText;

namespace {

struct Fixture {
    test::MemoryStore store;
    test::FakeProxy proxy{store, {}};
    test::FakeApi api{store, proxy, {test::operatorToken, Milliseconds{10}}};

    http::Response send(const char *method,
                        const char *path,
                        const std::string &body = {},
                        const http::Headers &headers = {},
                        const std::map<std::string, std::string> &query = {})
    {
        http::Request request{method, path, query, headers, body};
        request.headers["authorization"] = "Bearer " + test::operatorToken;
        return api.handle(request);
    }

    Json json(const char *path, const std::map<std::string, std::string> &query = {})
    {
        return Json::parse(send("GET", path, {}, {}, query).body);
    }
};

Json body(const http::Response &response)
{
    return Json::parse(response.body);
}

const char *const groupPath = "/v1/records/DatabaseGroup/g";

} // namespace

Test(operators, onlyTheRightTokenIsAccepted)
{
    Fixture fixture;
    for (const char *header : {"",
                               "Bearer",
                               "Bearer ",
                               "Bearer 0123456789abcdeF",
                               "Bearer 0123456789abcde",
                               "bearer 0123456789abcdef",
                               "Bearer 0123456789abcdef0123456789abcdef"}) {
        const auto response = fixture.api.handle({"GET", "/v1/status", {}, {{"authorization", header}}, {}});
        cr_assert(response.status == 401, "accepted \"%s\"", header);
        cr_assert(body(response)["error"] == "unauthorized" && body(response)["ran"] == "no");
    }
    cr_assert(fixture.api.handle({"GET", "/v1/status", {}, {}, {}}).status == 401);
    cr_assert(fixture.send("GET", "/v1/status").status == 200);
}

Test(operators, answersToChangesHoldVersionsAndChangedFields)
{
    Fixture fixture;
    const auto created = fixture.send("PUT", groupPath, groupText("g", 3), {{"x-operator", "ana"}});
    cr_assert(created.status == 200);
    cr_assert(body(created)["version"] == 1 && body(created)["fromVersion"] == 0 && body(created)["ran"] == "yes");
    const auto changed = body(fixture.send("PUT", groupPath, groupText("g", 4)));
    cr_assert(changed["fromVersion"] == 1);
    cr_assert(changed["changes"] == Json::parse(R"([{"field":"spec.slots","before":3,"after":4}])"));
    const auto same = body(fixture.send("PUT", groupPath, groupText("g", 4)));
    cr_assert(same["ran"] == "no" && same["version"] == changed["version"]);
    const auto read = fixture.json(groupPath);
    cr_assert(read["version"] == changed["version"] && read["source"] == "store");
    cr_assert(read["record"]["spec"]["slots"] == 4);
}

Test(operators, badRequestsAreAnsweredWithTheirErrorKind)
{
    Fixture fixture;
    const std::string group = groupText("g", 3);
    struct Case {
        const char *method;
        const char *path;
        std::string body;
        http::Headers headers;
        const char *error;
    };
    const Case cases[] = {{"GET", "/", "", {}, "not-found"},
                          {"GET", "/v2/status", "", {}, "not-found"},
                          {"POST", "/v1/status", "", {}, "malformed-request"},
                          {"GET", "/v1/records/Nothing", "", {}, "not-found"},
                          {"GET", groupPath, "", {}, "not-found"},
                          {"DELETE", groupPath, "", {}, "not-found"},
                          {"PUT", "/v1/records/DatabaseGroup", group, {}, "malformed-request"},
                          {"PUT", "/v1/records/DatabaseGroup/-", group, {}, "malformed-request"},
                          {"PUT", "/v1/records/DatabaseGroup/h", group, {}, "malformed-request"},
                          {"PUT", "/v1/records/GroupStatus/g", group, {}, "malformed-request"},
                          {"PUT", groupPath, group, {{"if-match", "x"}}, "malformed-request"},
                          {"PUT", groupPath, group, {{"x-operator", std::string(200, 'a')}}, "malformed-request"},
                          {"PUT", groupPath, group, {{"x-operator", "a\nb"}}, "malformed-request"},
                          {"PUT", groupPath, group, {{"if-match", "7"}}, "conflict"},
                          {"PUT", groupPath, group, {{"x-min-revision", "99"}}, "not-ready"},
                          {"PUT", groupPath, "{", {}, "invalid-record"},
                          {"PUT", groupPath, R"({"kind":"DatabaseGroup","name":"g","schema":"v9","spec":{}})", {}, "unsupported-version"},
                          {"PUT", groupPath, std::string(2000000, ' '), {}, "too-large"}};
    for (const auto &item : cases) {
        const auto response = fixture.send(item.method, item.path, item.body, item.headers);
        cr_assert(body(response)["error"] == item.error, "%s %s: %s", item.method, item.path, response.body.c_str());
        cr_assert(body(response)["ran"] == "no");
        ErrorKind kind{};
        cr_assert(errorKindFromName(item.error, kind) && response.status == answerRule(kind).status);
    }
    cr_assert(fixture.store.catalog()->entries().empty(), "nothing was written");
}

Test(operators, allFaultsOfARecordAreReportedWithTheirLines)
{
    Fixture fixture;
    const auto response = fixture.send(
        "PUT", groupPath, "{\"kind\":\"DatabaseGroup\",\"name\":\"g\",\"schema\":\"v1\",\n\"spec\":{\"members\":[],\n\"slots\":0}}");
    const auto faults = body(response)["faults"];
    cr_assert(response.status == 422 && faults.size() == 3);
    cr_assert(faults[2]["key"] == "spec.slots" && faults[2]["line"] == 3);
}

Test(operators, onlyOneOfTwoChangesOfTheSameVersionIsAccepted)
{
    Fixture fixture;
    cr_assert(fixture.send("PUT", groupPath, groupText("g", 1)).status == 200);
    std::atomic<int> waiting{0};
    fixture.store.beforePut = [&waiting] {
        // Waits until both requests have read version 1, before either writes.
        ++waiting;
        while (waiting < 2) {
            std::this_thread::yield();
        }
    };
    std::vector<http::Response> responses(2);
    std::thread first([&] { responses[0] = fixture.send("PUT", groupPath, groupText("g", 2), {{"if-match", "1"}}); });
    std::thread second([&] { responses[1] = fixture.send("PUT", groupPath, groupText("g", 3), {{"if-match", "1"}}); });
    first.join();
    second.join();
    const auto &winner = responses[0].status == 200 ? responses[0] : responses[1];
    const auto &loser = responses[0].status == 200 ? responses[1] : responses[0];
    cr_assert(winner.status == 200);
    cr_assert(loser.status == 409 && body(loser)["error"] == "conflict" && body(loser)["ran"] == "no");
    cr_assert(body(loser)["currentVersion"] == body(winner)["version"]);
    const auto entry = fixture.store.catalog()->find({RecordKind::DatabaseGroup, RecordName{"g"}});
    cr_assert(entry->version == body(winner)["version"]);
}

Test(operators, changesWithoutAnExpectedVersionAreBasedOnTheNewestOne)
{
    Fixture fixture;
    cr_assert(fixture.send("PUT", groupPath, groupText("g", 1)).status == 200);
    std::vector<std::thread> threads;
    std::atomic<int> accepted{0};
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&, index] { accepted += fixture.send("PUT", groupPath, groupText("g", 10 + index)).status == 200 ? 1 : 0; });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    cr_assert(accepted >= 1);
    // In any order of the changes, the audit trail is one chain of versions.
    const auto entries = fixture.json("/v1/history")["entries"];
    cr_assert(entries.size() == static_cast<std::size_t>(accepted) + 1);
    for (std::size_t index = 0; index + 1 < entries.size(); ++index) {
        cr_assert(entries[index]["fromVersion"] == entries[index + 1]["toVersion"]);
    }
}

Test(operators, everyChangeWritesAnAuditEntry)
{
    Fixture fixture;
    fixture.send("PUT", groupPath, groupText("g", 1), {{"x-operator", "ana"}});
    fixture.send("PUT", groupPath, groupText("g", 2), {{"x-operator", "jon"}});
    fixture.send("PUT", "/v1/records/DatabaseGroup/h", groupText("h", 2), {{"x-operator", "ana"}});
    cr_assert(fixture.send("DELETE", groupPath, {}, {{"x-operator", "ana"}}).status == 200);
    const auto entries = fixture.json("/v1/history", {{"name", "g"}})["entries"];
    cr_assert(entries.size() == 3);
    cr_assert(entries[0]["deleted"] == true && entries[0]["who"] == "ana");
    cr_assert(entries[1]["who"] == "jon" && entries[1]["changes"] == Json::parse(R"([{"field":"spec.slots","before":1,"after":2}])"));
    cr_assert(entries[2]["fromVersion"] == 0 && entries[2]["atMs"] < entries[1]["atMs"]);
    cr_assert(fixture.json("/v1/history", {{"who", "ana"}})["entries"].size() == 3);
    cr_assert(fixture.json("/v1/history", {{"limit", "1"}})["entries"].size() == 1);
    cr_assert(fixture.json("/v1/history", {{"since", "999999"}})["entries"].empty());
    cr_assert(fixture.json("/v1/history", {{"kind", "StopPlan"}})["entries"].empty());
    cr_assert(fixture.json("/v1/history", {{"kind", "No"}})["error"] == "malformed-request");
}

Test(operators, auditEntriesAreBoundedInSizeAndNumber)
{
    std::vector<FieldChange> many(100, FieldChange{"f", "\"" + std::string(5000, 'x') + "\"", std::nullopt});
    const auto record = auditRecord({RecordKind::StopPlan, RecordName{"p"}}, {"ana", WallTime{}}, 1, 2, std::move(many), false);
    cr_assert(std::get<AuditEntry>(record.spec).truncated);
    cr_assert(writeRecord(record).size() < 8192);
    std::vector<StoredText> entries;
    for (std::uint64_t version = 1; version <= maxAuditEntries + 10; ++version) {
        entries.push_back({{RecordKind::AuditEntry, RecordName{std::to_string(version)}}, version, {}});
    }
    std::reverse(entries.begin(), entries.end());
    const auto dropped = entriesToDrop(entries);
    cr_assert(dropped.size() == 10 && dropped.front().version == 1 && dropped.back().version == 10);
    entries.resize(maxAuditEntries);
    cr_assert(entriesToDrop(entries).empty());
}

Test(operators, auditEntriesOfDifferentChangesHaveDifferentNames)
{
    const auto nameOf = [](const char *record, std::uint64_t from, std::uint64_t to, bool deleted) {
        const auto entry = auditRecord({RecordKind::GroupStatus, RecordName{record}}, {"system", WallTime{}}, from, to, {}, deleted);
        cr_assert(isValidName(entry.name.text()));
        return entry.name.text();
    };
    const std::set<std::string> names{nameOf("g1", 0, 7, false),
                                      nameOf("g2", 0, 7, false),
                                      nameOf("g1", 7, 8, true),
                                      nameOf("g1", 0, UINT64_MAX, false),
                                      nameOf("g1", UINT64_MAX, 0, true)};
    cr_assert(names.size() == 5);
}

Test(operators, aMissingAuditEntryIsReported)
{
    Fixture fixture;
    fixture.store.auditOutage = Error{ErrorKind::StoreUnavailable, "down"};
    const auto answer = body(fixture.send("PUT", groupPath, groupText("g", 1)));
    cr_assert(answer["ran"] == "yes" && answer["audit"] == "missing");
}

Test(operators, storeOutagesAreReportedWithTheirOutcome)
{
    Fixture fixture;
    fixture.send("PUT", groupPath, groupText("g", 1));
    fixture.store.outage = Error{ErrorKind::StoreUnavailable, "down"}.withRetryAfter(Milliseconds{1500});
    const auto refused = fixture.send("PUT", groupPath, groupText("g", 2));
    cr_assert(refused.status == 503 && body(refused)["ran"] == "no" && refused.headers.at("retry-after") == "2");
    const auto cached = fixture.json(groupPath);
    cr_assert(cached["source"] == "cache" && cached["record"]["spec"]["slots"] == 1);
    fixture.store.outage = Error{ErrorKind::StoreOutcomeUnknown, "lost"};
    const auto unknown = fixture.send("PUT", groupPath, groupText("g", 2));
    cr_assert(unknown.status == 504 && body(unknown)["ran"] == "unknown");
}

Test(operators, formsThatALiveProxyCannotReadAreRefused)
{
    Fixture fixture;
    fixture.proxy.others.push_back({InstanceName{"old"},
                                    FailureDomain{"d"},
                                    InstanceState::Ready,
                                    0,
                                    {{RecordKind::DatabaseGroup, SchemaVersion::V1}},
                                    Milliseconds{0}});
    cr_assert(fixture.send("PUT", groupPath, groupText("g", 1)).status == 200);
    const auto refused = fixture.send("PUT", groupPath, groupText("g", 1, "v2"));
    cr_assert(body(refused)["error"] == "unreadable-form");
    cr_assert(body(refused)["description"].get<std::string>().find("old") != std::string::npos);
    fixture.proxy.others.clear();
    cr_assert(fixture.send("PUT", groupPath, groupText("g", 1, "v2")).status == 200);
}

Test(operators, recordsAreCheckedAgainstEachOther)
{
    Fixture fixture;
    const std::string intent = R"({"kind":"RoutingIntent","name":"r","schema":"v1","spec":{"service":"s","groups":["g"]}})";
    const std::string plan = R"({"kind":"StopPlan","name":"NAME","schema":"v1","spec":{"endpoint":{"group":"g","member":"MEMBER"}}})";
    const auto planFor = [&plan](const std::string &name, const std::string &member) {
        auto text = plan;
        text.replace(text.find("NAME"), 4, name);
        return text.replace(text.find("MEMBER"), 6, member);
    };
    cr_assert(body(fixture.send("PUT", "/v1/records/RoutingIntent/r", intent))["error"] == "invalid-record");
    fixture.send("PUT", groupPath, groupText("g", 1));
    cr_assert(fixture.send("PUT", "/v1/records/RoutingIntent/r", intent).status == 200);
    cr_assert(body(fixture.send("DELETE", groupPath))["error"] == "invalid-record");
    cr_assert(fixture.send("PUT", "/v1/records/StopPlan/p", planFor("p", "m0")).status == 200);
    cr_assert(body(fixture.send("PUT", "/v1/records/StopPlan/q", planFor("q", "m1")))["error"] == "plan-refused");
}

Test(operators, dryRunsChangeNothing)
{
    Fixture fixture;
    const auto answer = body(fixture.send("PUT", groupPath, groupText("g", 1), {}, {{"dryRun", "1"}}));
    cr_assert(answer["ran"] == "no" && answer["changes"].size() > 5);
    cr_assert(fixture.store.catalog()->entries().empty());
    fixture.send("PUT", groupPath, groupText("g", 1));
    cr_assert(body(fixture.send("DELETE", groupPath, {}, {}, {{"dryRun", "1"}}))["ran"] == "no");
    cr_assert(fixture.send("GET", groupPath).status == 200);
}

Test(operators, unknownFieldsAreKeptAndReported)
{
    Fixture fixture;
    auto text = groupText("g", 1);
    text.insert(text.find("\"spec\""), "\"labels\": {\"team\": \"a\"}, ");
    cr_assert(body(fixture.send("PUT", groupPath, text))["unknownFields"] == Json::parse(R"(["labels.team"])"));
    cr_assert(fixture.json(groupPath)["record"]["labels"]["team"] == "a");
}

Test(operators, listsArePaged)
{
    Fixture fixture;
    for (int index = 0; index < 5; ++index) {
        const auto name = "g" + std::to_string(index);
        fixture.send("PUT", ("/v1/records/DatabaseGroup/" + name).c_str(), groupText(name, 1));
    }
    std::vector<std::string> names;
    std::string after;
    for (int page = 0; page < 3; ++page) {
        const auto answer = fixture.json("/v1/records/DatabaseGroup", {{"limit", "2"}, {"after", after}});
        for (const auto &item : answer["records"]) {
            names.push_back(item["record"]["name"]);
        }
        after = answer.value("next", "");
    }
    cr_assert(names == (std::vector<std::string>{"g0", "g1", "g2", "g3", "g4"}));
    cr_assert(after.empty());
    cr_assert(fixture.json("/v1/records/StopPlan")["records"].empty());
}

Test(operators, statusNamesEveryProxyAndItsRevision)
{
    Fixture fixture;
    fixture.send("PUT", groupPath, groupText("g", 1));
    fixture.proxy.others.push_back({InstanceName{"p2"}, FailureDomain{"d2"}, InstanceState::Draining, 1, {}, Milliseconds{7}});
    const auto status = fixture.json("/v1/status");
    cr_assert(status["instance"] == "p1" && status["revision"] == 2 && status["records"]["DatabaseGroup"] == 1);
    cr_assert(status["proxies"][0]["state"] == "draining" && status["proxies"][0]["revision"] == 1);
    cr_assert(status["proxies"][1]["revision"] == 2);
    const auto behind = fixture.json("/v1/status", {{"behind", "2"}});
    cr_assert(behind["proxies"].size() == 1 && behind["proxies"][0]["instance"] == "p2" && behind["proxyCount"] == 2);
}

Test(operators, watchesReportEveryChangeOnceAndInOrder)
{
    Fixture fixture;
    fixture.send("PUT", groupPath, groupText("g", 1));
    cr_assert(fixture.json("/v1/watch", {{"after", "0"}})["reset"] == true);
    auto after = fixture.json("/v1/status")["revision"].get<std::uint64_t>();
    fixture.send("PUT", groupPath, groupText("g", 2));
    fixture.send("PUT", "/v1/records/DatabaseGroup/h", groupText("h", 2));
    fixture.send("DELETE", groupPath);
    const auto answer = fixture.json("/v1/watch", {{"after", std::to_string(after)}, {"waitMs", "1000"}});
    cr_assert(answer["changes"].size() == 2 && answer["reset"] == false);
    cr_assert(answer["changes"][0]["name"] == "h" && answer["changes"][1]["deleted"] == true);
    const auto next = std::to_string(answer["revision"].get<std::uint64_t>());
    cr_assert(fixture.json("/v1/watch", {{"after", next}, {"waitMs", "1"}})["changes"].empty());
    cr_assert(fixture.json("/v1/watch", {{"after", "x"}})["error"] == "malformed-request");
    cr_assert(fixture.json("/v1/watch", {{"waitMs", "99999999"}})["error"] == "malformed-request");
}

Test(operators, arbitraryRequestsAreAnswered)
{
    const bool holds = rc::check("every request is answered", [](std::uint64_t seed) {
        Random random{seed};
        Fixture fixture;
        const char *methods[] = {"GET", "PUT", "DELETE", "", "PATCH"};
        const char *parts[] = {"v1", "records", "status", "watch", "history", "DatabaseGroup", "g", "..", "", "\xff", "AuditEntry"};
        const char *values[] = {"", "0", "-1", "18446744073709551615", "99999999999999999999", "g"};
        std::string path;
        for (auto left = random.below(6); left > 0; --left) {
            path += "/" + std::string(parts[random.below(std::size(parts))]);
        }
        const std::map<std::string, std::string> query{{"after", values[random.below(std::size(values))]},
                                                       {"limit", values[random.below(std::size(values))]},
                                                       {"since", values[random.below(std::size(values))]}};
        const auto response = fixture.send(methods[random.below(std::size(methods))], path.c_str(), "[]", {}, query);
        RC_ASSERT(Json::accept(response.body));
        RC_ASSERT(response.status >= 200);
        RC_ASSERT(response.status < 500);
    });
    cr_assert(holds);
}

// A limit of 0 returned one record, so a client that asks for no records got one and a name to continue from.
Test(operators, aLimitOfZeroIsRefused)
{
    Fixture fixture;
    cr_assert(fixture.send("PUT", groupPath, groupText("g", 3)).status == 200);
    for (const char *path : {"/v1/records/DatabaseGroup", "/v1/history"}) {
        const auto response = fixture.send("GET", path, {}, {}, {{"limit", "0"}});
        cr_assert(body(response)["error"] == "malformed-request", "%s", path);
        cr_assert(fixture.send("GET", path, {}, {}, {{"limit", "1"}}).status == 200, "%s", path);
    }
}
