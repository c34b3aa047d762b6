// Tests of reading and writing records: both schema versions, unknown fields, faults, differences and readable forms.
#include "anyrecord.h"
#include "records/diff.h"
#include "records/forms.h"
#include "records/record.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace cardamomstep;

namespace {

const std::string groupV1 = R"({
  "kind": "DatabaseGroup", "name": "ledger-1", "schema": "v1", "owner": "team a",
  "spec": {
    "members": [
      {"name": "a", "failureDomain": "north-a", "address": "10.0.0.1:5000", "rack": {"row": 7}},
      {"name": "b", "failureDomain": "north-b", "address": "10.0.0.2:5000"}
    ],
    "connections": 40, "slots": 3, "color": "red"
  }
})";

std::string faultPositions(const std::string &text)
{
    const auto records = readRecords("f.json", text);
    std::ostringstream positions;
    if (!records) {
        for (const auto &fault : records.faults()) {
            positions << fault.position->line << " " << fault.position->key << " " << answerRule(fault.kind).name << "\n";
        }
    }
    return positions.str();
}

std::string fileText(const char *path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(records, everyKindRoundTripsInEverySchema)
{
    const bool holds = rc::check("write, read", [](std::uint64_t seed) {
        Random random{seed};
        for (const auto kind : allRecordKinds) {
            const auto record = test::anyRecord(random, kind);
            const auto read = readRecord("f", writeRecord(record));
            RC_ASSERT(bool(read));
            RC_ASSERT(*read == record);
        }
    });
    cr_assert(holds);
}

Test(records, changingTheSchemaKeepsTheContent)
{
    const bool holds = rc::check("v1, v2, v1", [](std::uint64_t seed) {
        Random random{seed};
        for (const auto kind : allRecordKinds) {
            auto record = test::anyRecord(random, kind);
            record.schema = SchemaVersion::V1;
            const auto first = writeRecord(record);
            record.schema = SchemaVersion::V2;
            auto second = readRecord("f", writeRecord(record));
            RC_ASSERT(bool(second));
            RC_ASSERT(second->spec == record.spec);
            second->schema = SchemaVersion::V1;
            RC_ASSERT(writeRecord(*second) == first);
        }
    });
    cr_assert(holds);
}

Test(records, goldenFilesReadAndWriteTheSame)
{
    const std::pair<const char *, SchemaVersion> files[] = {{"tests/records/golden/v1.json", SchemaVersion::V1},
                                                            {"tests/records/golden/v2.json", SchemaVersion::V2}};
    for (const auto &[from, schema] : files) {
        const auto read = readRecords(from, fileText(from));
        cr_assert(bool(read), "%s", from);
        cr_assert(read->size() == 8);
        for (const auto &[to, target] : files) {
            std::string written = "[\n";
            for (auto record : *read) {
                cr_assert(record.schema == schema);
                record.schema = target;
                written += (written.size() > 2 ? ",\n" : "") + writeRecord(record);
            }
            cr_assert(written + "\n]\n" == fileText(to), "%s written as %s", from, to);
        }
    }
}

Test(records, schemaV2GroupsItsFields)
{
    const auto read = readRecord("f", groupV1);
    auto record = *read;
    record.schema = SchemaVersion::V2;
    cr_assert(contains(writeRecord(record), R"("capacity":{"connections":40,"serviceTimeMs":5,"slots":3})"));
}

Test(records, unknownFieldsAreKeptWhenARecordIsRewritten)
{
    auto record = *readRecord("f", groupV1);
    cr_assert(unknownFieldPaths(record) == (std::vector<std::string>{"owner", "spec.color", "spec.members[a].rack.row"}));
    auto &group = std::get<DatabaseGroup>(record.spec);
    std::swap(group.members[0], group.members[1]);
    group.slots = 4;
    for (const auto schema : {SchemaVersion::V1, SchemaVersion::V2, SchemaVersion::V1}) {
        record.schema = schema;
        const auto written = writeRecord(record);
        cr_assert(contains(written, R"("color":"red")"));
        cr_assert(contains(written, R"("owner":"team a")"));
        cr_assert(contains(written, R"("name":"a","rack":{"row":7}})"), "the field stays with its member: %s", written.c_str());
        record = *readRecord("f", written);
        cr_assert(std::get<DatabaseGroup>(record.spec).slots == 4);
    }
    std::get<DatabaseGroup>(record.spec).members.pop_back();
    cr_assert(!contains(writeRecord(record), "rack"), "the field is removed with its member");
}

Test(records, theWriterStampIsNotPartOfARecord)
{
    auto text = groupV1;
    text.insert(1, "\"writer\": {\"nonce\": \"n1\"},");
    cr_assert(*readRecord("f", text) == *readRecord("f", groupV1));
}

Test(records, allFaultsAreReportedAtOnceWithTheirLines)
{
    const auto positions = faultPositions(R"([
{"kind": "DatabaseGroup", "name": "bad name", "schema": "v2",
 "spec": {"members": [
   {"name": "a", "failureDomain": "d", "address": "10.0.0.1:1"},
   {"name": "a", "failureDomain": "d", "address": "nowhere"},
   {"name": "c", "failureDomain": "d", "address": "10.0.0.1:1"}],
  "capacity": {"connections": 2,
   "slots": 3}}},
{"kind": "RoutingIntent", "name": "r", "schema": "v1",
 "spec": {"service": "s", "groups": [],
  "guaranteedPercent": 101}},
{"kind": "StopPlan", "name": "p", "schema": "v1",
 "spec": {"state": "later"}},
{"kind": "Unheard", "name": "p", "schema": "v1", "spec": {}},
{"kind": "StopPlan", "name": "p", "name": "q", "schema": "v1"},
7
])");
    cr_assert(positions
                  == "2 [0].name invalid-record\n3 [0].spec.members invalid-record\n5 [0].spec.members[1].address invalid-record\n"
                     "5 [0].spec.members[1].name invalid-record\n8 [0].spec.capacity.slots invalid-record\n"
                     "10 [1].spec.groups invalid-record\n11 [1].spec.guaranteedPercent invalid-record\n"
                     "13 [2].spec.endpoint invalid-record\n13 [2].spec.state invalid-record\n14 [3].kind invalid-record\n"
                     "15 [4].name invalid-record\n15 [4].spec invalid-record\n16 [5] invalid-record\n16 [5].kind invalid-record\n"
                     "16 [5].name invalid-record\n16 [5].schema invalid-record\n16 [5].spec invalid-record\n",
              "%s",
              positions.c_str());
}

Test(records, unknownSchemaVersionsAreRejected)
{
    cr_assert(faultPositions("{\"kind\": \"StopPlan\", \"name\": \"p\",\n\"schema\": \"v3\", \"spec\": {}}")
              == "2 schema unsupported-version\n");
}

Test(records, textsThatAreNotRecordsAreRejected)
{
    for (const char *text : {"", "[", "null", "\"x\"", "{}", "[[]]", "{\"kind\":1}", "{\"spec\":[]}"}) {
        cr_assert(!faultPositions(text).empty(), "accepted %s", text);
        cr_assert(!readRecord("f", text), "accepted %s", text);
    }
    cr_assert(readRecord("f", std::string(std::size_t{2} << 20U, ' ')).faults().at(0).kind == ErrorKind::TooLarge);
}

Test(records, readingArbitraryValuesNeverCrashes)
{
    const bool holds = rc::check("mutated texts", [](std::uint64_t seed) {
        Random random{seed};
        const char *pieces[] = {"{}", "[]", "null", "-1", "\"\"", "[{}]", "{\"name\":[]}", "1e999", "[[[[]]]]"};
        for (const auto kind : allRecordKinds) {
            auto text = writeRecord(test::anyRecord(random, kind));
            const auto colon = text.find(':', random.below(text.size()));
            const auto end = colon == std::string::npos ? colon : text.find_first_of(",}", colon);
            if (end != std::string::npos) {
                text.replace(colon + 1, end - colon - 1, pieces[random.below(std::size(pieces))]);
            }
            const auto read = readRecords("f", text);
            const bool answered = bool(read) || !read.faults().empty();
            RC_ASSERT(answered);
        }
    });
    cr_assert(holds);
}

Test(records, namesAreLimitedInLengthAndCharacters)
{
    for (const char *name : {"a", "A.b_c-9", "0"}) {
        cr_assert(isValidName(name));
    }
    for (const std::string &name : {std::string(), std::string("-a"), std::string("a/b"), std::string("a b"), std::string(64, 'a')}) {
        cr_assert(!isValidName(name));
    }
    cr_assert(isValidName(std::string(63, 'a')));
}

Test(records, differencesAreFieldByField)
{
    const auto before = *readRecord("f", groupV1);
    cr_assert(diffRecords(&before, &before).empty());
    auto after = before;
    auto &group = std::get<DatabaseGroup>(after.spec);
    group.members[1].address = Address{"10.0.0.9:5000"};
    std::swap(group.members[0], group.members[1]);
    group.slots = 2;
    const auto changes = diffRecords(&before, &after);
    cr_assert(
        changes
        == (std::vector<FieldChange>{{"spec.members[b].address", "\"10.0.0.2:5000\"", "\"10.0.0.9:5000\""}, {"spec.slots", "3", "2"}}));
}

Test(records, aChangeOfTheSchemaIsOneDifference)
{
    const bool holds = rc::check("only the schema", [](std::uint64_t seed) {
        Random random{seed};
        for (const auto kind : allRecordKinds) {
            auto before = test::anyRecord(random, kind);
            before.schema = SchemaVersion::V1;
            auto after = before;
            after.schema = SchemaVersion::V2;
            RC_ASSERT(diffRecords(&before, &after) == (std::vector<FieldChange>{{"schema", "\"v1\"", "\"v2\""}}));
        }
    });
    cr_assert(holds);
}

Test(records, creationAndDeletionListAllFields)
{
    const auto record = *readRecord("f", groupV1);
    const auto created = diffRecords(nullptr, &record);
    const auto deleted = diffRecords(&record, nullptr);
    cr_assert(created.size() == deleted.size() && created.size() > 8);
    cr_assert(std::none_of(created.begin(), created.end(), [](const FieldChange &change) { return change.before.has_value(); }));
    cr_assert(std::none_of(deleted.begin(), deleted.end(), [](const FieldChange &change) { return change.after.has_value(); }));
}

Test(records, differencesAreBounded)
{
    std::vector<FieldChange> changes{{"a", "\"" + std::string(100, 'x') + "\"", "1"}, {"b", "1", "2"}, {"c", "1", "2"}};
    cr_assert(boundChanges(changes, 2, 20));
    cr_assert(changes.size() == 2);
    cr_assert(changes[0].before == std::optional<std::string>("\"(102 bytes)\""));
    cr_assert(!boundChanges(changes, 2, 20));
}

Test(records, formsThatALiveProxyCannotReadAreRefused)
{
    const RecordForm form{RecordKind::StopPlan, SchemaVersion::V2};
    std::vector<ReadableForms> live{{InstanceName{"p1"}, ownForms()}};
    cr_assert(!checkReadable(form, live));
    live.push_back({InstanceName{"p2"}, {{RecordKind::StopPlan, SchemaVersion::V1}}});
    live.push_back({InstanceName{"p3"}, {{RecordKind::RoutingIntent, SchemaVersion::V2}}});
    const auto refusal = checkReadable(form, live);
    cr_assert(refusal->kind == ErrorKind::UnreadableForm);
    cr_assert(contains(refusal->description, "p2, p3") && !contains(refusal->description, "p1"));
}

Test(records, unknownFormsOfAProxyAreReportedAsNotReady)
{
    const RecordForm form{RecordKind::StopPlan, SchemaVersion::V2};
    std::vector<ReadableForms> live{{InstanceName{"p1"}, ownForms()}, {InstanceName{"p2"}, {}}};
    const auto unknown = checkReadable(form, live);
    cr_assert(unknown->kind == ErrorKind::NotReady);
    cr_assert(unknown->retryAfter.has_value());
    cr_assert(contains(unknown->description, "p2"));
    live.push_back({InstanceName{"p3"}, {{RecordKind::StopPlan, SchemaVersion::V1}}});
    cr_assert(checkReadable(form, live)->kind == ErrorKind::UnreadableForm);
}
