// Tests of replies that hold entries of other writers: an entry that cannot be read names nothing, and the others hold.
#include "gateway/catalogwatcher.h"
#include "leadership/primarytable.h"
#include "leadership/recordjson.h"
#include "leadership/recordrecovery.h"
#include "platform/objectforms.h"
#include "platform/objectstore.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace cardamomstep;
using namespace cardamomstep::platform;

namespace {

const ObjectKind memberKind{"servers"};
constexpr StoreEpoch epoch{3};

std::string entryWith(const std::string &field, const std::string &value)
{
    std::string text = "{";
    const std::vector<std::pair<std::string, std::string>> fields{{"service", R"("db")"},
                                                                  {"address", R"("10.0.0.1:7")"},
                                                                  {"zone", R"("z")"},
                                                                  {"version", R"("7.1")"},
                                                                  {"slots", "2"},
                                                                  {"state", R"("ready")"},
                                                                  {"warmupLeftMs", "0"},
                                                                  {"seq", "4"},
                                                                  {"born", "12"},
                                                                  {"currentRole", R"("replica")"}};
    for (const auto &[key, usual] : fields) {
        text += (text.size() > 1 ? ",\"" : "\"") + key + "\":" + (key == field ? value : usual);
    }
    return text + "}";
}

std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Specs that no member writes: each names no member.
std::vector<std::string> oddSpecs()
{
    std::vector<std::string> specs{"null", "7", "[]", "\"text\"", "true", "{}", "tru", "\"\xff\"", R"({"service":"\ud800"})"};
    for (const std::size_t depth : {std::size_t{70}, std::size_t{400'000}}) {
        specs.push_back(nestedArrays(depth));
        specs.push_back(R"({"service":)" + nestedArrays(depth) + "}");
        specs.push_back(entryWith("seq", nestedArrays(depth)));
    }
    for (const char *field : {"slots", "born"}) {
        for (const char *number : {"1e400", "-1e400", "-1", "1.5", "18446744073709551616", "99999999999999999999999999", "1e18", "\"1\""}) {
            specs.push_back(entryWith(field, number));
        }
    }
    specs.push_back(entryWith("slots", "4294967296"));
    specs.push_back(entryWith("seq", "1e400"));
    specs.push_back(entryWith("warmupLeftMs", "\"soon\""));
    specs.push_back(entryWith("version", "7"));
    for (const char *address : {"10.0.0.1:0",
                                "10.0.0.1:65536",
                                "10.0.0.1:99999999999999999999",
                                "10.0.0.1:-1",
                                "10.0.0.1:7x",
                                "10.0.0.1",
                                ":7",
                                "10.0.0.256:7",
                                "host:7",
                                "[::1]:7",
                                "",
                                "10.0.0.1:7\\r\\nQUERY"}) {
        specs.push_back(entryWith("address", "\"" + std::string(address) + "\""));
    }
    for (const char *service : {"\"\"", "\"d b\"", "\"db\\r\\nQUERY - DEMOTE 9\"", "\"db\\u0000\"", "7"}) {
        specs.push_back(entryWith("service", service));
    }
    specs.push_back(entryWith("state", "\"gone\""));
    return specs;
}

std::string object(const std::string &name, const std::string &spec)
{
    return R"({"meta":{"name":")" + name + R"(","revision":4},"spec":)" + spec + R"(,"status":null})";
}

std::string listingOf(const std::vector<std::string> &objects)
{
    std::string body = R"({"items":[)";
    for (std::size_t index = 0; index < objects.size(); ++index) {
        body += (index > 0 ? "," : "") + objects[index];
    }
    return body + R"(],"more":true,"asOf":9})";
}

std::string changesOf(const std::vector<std::string> &objects)
{
    std::string body = R"({"asOf":9,"events":[)";
    for (std::size_t index = 0; index < objects.size(); ++index) {
        body += (index > 0 ? ",{\"object\":" : "{\"object\":") + objects[index] + ",\"deleted\":false}";
    }
    return body + "]}";
}

/// Names of the members among \a objects.
std::vector<std::string> membersOf(const std::vector<StoredObject> &objects)
{
    std::vector<std::string> names;
    for (const auto &stored : objects) {
        if (const auto member = decodeMember(stored.name, stored.value)) {
            names.push_back(member->name.text());
        }
    }
    return names;
}

const std::vector<std::string> healthy{"m-1", "m-3"};

} // namespace

// One entry with bytes that cannot be read, nested deeply or with a number too large made every listing and watch of members fail.
Test(foreignentries, anOddEntryNamesNoMemberAndTheOthersHold)
{
    for (const auto &spec : oddSpecs()) {
        // The position at the start, between and at the end of a reply may differ in what else it makes unreadable.
        for (std::size_t position = 0; position < 3; ++position) {
            std::vector<std::string> objects{object("m-1", entryWith("", "")), object("m-3", entryWith("", ""))};
            objects.insert(objects.begin() + static_cast<std::ptrdiff_t>(position), object("m-2", spec));
            const auto shown = spec.substr(0, 60);
            const auto page = decodeListing(memberKind, epoch, listingOf(objects));
            cr_assert(bool(page), "listing with %s", shown.c_str());
            cr_assert(membersOf(page->listing.objects) == healthy, "listing with %s", shown.c_str());
            cr_assert(page->more && page->listing.revision == (Revision{9, epoch}));
            cr_assert(page->last.text() == (position == 2 ? "m-2" : "m-3"));
            const auto changes = decodeChanges(memberKind, Revision{3, epoch}, changesOf(objects));
            cr_assert(bool(changes), "watch with %s", shown.c_str());
            cr_assert(membersOf(changes->changes) == healthy, "watch with %s", shown.c_str());
        }
    }
}

Test(foreignentries, anEntryWithoutAReadableNameIsLeftOutAndCounted)
{
    for (const std::string odd : {R"({"spec":{}})",
                                  R"({"meta":7,"spec":{}})",
                                  R"({"meta":{"name":"\ud800","revision":4}})",
                                  "null",
                                  "[[]]",
                                  R"({"meta":{"name":"m-2"}})",
                                  R"({"meta":{"name":"m-2","revision":1e400}})",
                                  "{\"meta\"}",
                                  R"({"meta":{"name":"m-2","revision":4},"spec":})"}) {
        const std::vector<std::string> objects{object("m-1", entryWith("", "")), odd, object("m-3", entryWith("", ""))};
        const auto page = decodeListing(memberKind, epoch, listingOf(objects));
        cr_assert(page && membersOf(page->listing.objects) == healthy, "%s", odd.c_str());
        cr_assert(page->listing.unreadable == 1, "%s", odd.c_str());
        const auto changes = decodeChanges(memberKind, Revision{3, epoch}, changesOf(objects));
        cr_assert(changes && membersOf(changes->changes) == healthy, "%s", odd.c_str());
        cr_assert(changes->unreadable == 1, "%s", odd.c_str());
    }
}

Test(foreignentries, aReplyWhoseObjectsCannotBeToldApartIsNoEmptyListing)
{
    for (const char *items : {"[{},,{}]", "[{}", "null", "{}", "7", "[{},]"}) {
        cr_assert(!decodeListing(memberKind, epoch, std::string(R"({"asOf":9,"items":)") + items + "}"), "%s", items);
        cr_assert(!decodeChanges(memberKind, Revision{3, epoch}, std::string(R"({"asOf":9,"events":)") + items + "}"), "%s", items);
    }
}

Test(foreignentries, anEntryOfAMemberIsReadWhateverElseItHolds)
{
    const auto usual = decodeMember(ObjectName{"m-1"}, entryWith("", ""));
    cr_assert(usual && usual->slots == 2 && usual->startedAt == 12);
    auto extended = entryWith("", "");
    extended.insert(1, R"("of-a-later-release":[1,{"a":null}],)");
    cr_assert(decodeMember(ObjectName{"m-1"}, extended).has_value(), "new fields may come");
    cr_assert(
        decodeMember(ObjectName{"m-1"}, R"({"service":"db","address":"10.0.0.1:7","zone":"z","slots":2,"state":"ready"})").has_value());
    for (const char *name : {"", "m 1", "m-1\r\nQUERY - DEMOTE 9", "m\x7f"}) {
        cr_assert(!decodeMember(ObjectName{name}, entryWith("", "")).has_value(), "\"%s\" cannot be sent in a line", name);
    }
}

// At a start beside such an entry nobody took the lease, or a proxy took it beside its holder; a group kept no primary.
Test(foreignentries, unreadableObjectsOfTheFleetKeepTheirMeaning)
{
    const auto decoded = [](const ObjectKey &key, const std::string &value) {
        return leadership::decodeFleetObject(StoredObject{key.kind, key.name, Revision{20, epoch}, value, false});
    };
    const auto leaseKey = leadership::leaseKey();
    const auto recordKey = leadership::recordKey(GroupName{"g"});
    const auto proxyKey = leadership::proxyKey(InstanceName{"one"});
    for (const std::string value : {"null",
                                    "[1",
                                    "{\"holder\":5}",
                                    "{\"holder\":\"one\",\"fence\":-4}",
                                    "{\"holder\":\"one\",\"renewals\":1e300}",
                                    "{\"holder\":\"one\",\"epoch\":[]}",
                                    "{\"holder\":\"one\",\"fence\":18446744073709551615}"}) {
        const auto lease = std::get<leadership::LeaseState>(decoded(leaseKey, value));
        cr_assert(!leadership::isReadable(lease), "%s", value.c_str());
        cr_assert(
            !lease.holder.empty() && lease.holder.text() != "one", "it counts as held, so nobody takes it at once: %s", value.c_str());
        cr_assert(lease.confirmed() && lease.revision == (Revision{20, epoch}), "it can be replaced later: %s", value.c_str());
    }
    for (const std::string value : {"null",
                                    "{}",
                                    "{\"primary\":4}",
                                    "{\"primary\":\"p\",\"generation\":18446744073709551615}",
                                    "{\"primary\":\"p\",\"generation\":1.5}",
                                    "{\"primary\":\"p\",\"moving\":\"no\"}"}) {
        const auto record = std::get<leadership::GroupRecord>(decoded(recordKey, value));
        cr_assert(!leadership::isReadable(record) && !record.confirmed(), "%s", value.c_str());
        cr_assert(record.changeInProgress && record.primary.empty() && record.group.text() == "g", "%s", value.c_str());
    }
    for (const std::string value : {"null",
                                    "{}",
                                    "{\"address\":\"10.0.0.1:99999\"}",
                                    "{\"address\":\"10.0.0.1:7\",\"sessions\":\"x\"}",
                                    "{\"address\":[]}",
                                    "{\"address\":\"10.0.0.1:7\",\"failureDomain\":4}"}) {
        const auto proxy = std::get<leadership::ProxyEntry>(decoded(proxyKey, value));
        cr_assert(!leadership::isReadable(proxy) && proxy.address.empty() && proxy.sessions.empty(), "%s", value.c_str());
        cr_assert(proxy.instance.text() == "one", "a primary change still waits for it: %s", value.c_str());
    }
}

Test(foreignentries, anUnreadableRecordIsWrittenAgain)
{
    const auto key = leadership::recordKey(GroupName{"g"});
    const auto unreadable =
        std::get<leadership::GroupRecord>(leadership::decodeFleetObject(StoredObject{key.kind, key.name, Revision{20, epoch}, "7", false}));
    const TimePoint now{Milliseconds{1'000}};
    leadership::RecordRecovery recovery;
    recovery.reset(epoch);
    leadership::PrimaryTable table;
    cr_assert(!table.accept(unreadable));
    recovery.onStored(unreadable);
    auto writes = recovery.next(table, now);
    cr_assert(writes.size() == 1 && writes.front().revision == (Revision{20, epoch}) && writes.front().writtenIn == epoch);
    cr_assert(writes.front().changeInProgress, "a primary change has to find out who leads");
    cr_assert(recovery.unverified(GroupName{"g"}));
    // What was written is no unreadable record that would be written again and again.
    const auto rewritten = std::get<leadership::GroupRecord>(
        leadership::decodeFleetObject(StoredObject{key.kind, key.name, Revision{21, epoch}, leadership::encode(writes.front()), false}));
    cr_assert(leadership::isReadable(rewritten) && rewritten.confirmed() && rewritten.changeInProgress);
    // A lease holder that knows the record writes it as it was.
    leadership::GroupRecord known;
    known.group = GroupName{"g"};
    known.primary = MemberName{"p"};
    known.generation = 4;
    known.revision = Revision{12, epoch};
    known.writtenIn = epoch;
    cr_assert(table.accept(known));
    recovery.reset(epoch);
    recovery.onStored(unreadable);
    writes = recovery.next(table, now);
    cr_assert(writes.size() == 1 && writes.front().primary.text() == "p" && writes.front().generation == 4);
    cr_assert(!writes.front().changeInProgress && writes.front().revision == (Revision{20, epoch}));
}

Test(foreignentries, timesAndCountsOfAConfigurationStayInTheirRange)
{
    const auto configuration = decodeConfiguration(
        R"({"version":7,"routes":[{"host":"db","kind":"primary","service":"g","timeoutMs":9e18,"maxStalenessMs":9000000000000000000}],
            "services":[{"name":"g","maxConns":4294967297}],"limits":{"txIdleMs":9e18}})");
    cr_assert(configuration && configuration->routes.size() == 1 && configuration->groups.size() == 1);
    const TimePoint start{Milliseconds{1'000}};
    cr_assert(start + configuration->routes.front().statementTimeout > start);
    cr_assert(start - configuration->routes.front().maxStaleness < start);
    cr_assert(start + configuration->transactionIdle > start);
    cr_assert(configuration->groups.front().memberConnections > 1);
}

Test(foreignentries, anUnreadableEntryIsReportedOnce)
{
    std::vector<std::string> logged;
    int counted = 0;
    gateway::UnreadableEntries entries(
        {[&logged](LogLevel, std::string_view event, const std::vector<LogField> &) { logged.emplace_back(event); },
         [&counted](std::string_view) {
             ++counted;
         }});
    StoredObject odd{memberKind, ObjectName{"m-2"}, Revision{4, epoch}, "null", false};
    for (int reply = 0; reply < 5; ++reply) {
        entries.onEntry("members", odd, false);
        entries.onUnnamed("members", 2, Revision{4, epoch});
    }
    cr_assert(logged.size() == 3 && counted == 3, "%zu lines", logged.size());
    entries.onEntry("members", odd, true);
    entries.onEntry("members", odd, false);
    cr_assert(logged.size() == 4);
}
