// Damaged, overlong, deeply nested and wrongly typed input for every decoder of the session proxy: none may end the process.
#include "base/random.h"
#include "fleet/impl/fleetcodec.h"
#include "leadership/recordjson.h"
#include "platform/lineprotocol.h"
#include "platform/objectforms.h"
#include "settings/sessionsettings.h"

#include <criterion/criterion.h>
#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace cardamomstep;
using namespace cardamomstep::platform;

namespace {

/// A decoder and inputs that it accepts.
struct Target {
    const char *name;
    std::function<void(const std::string &)> decode;
    std::vector<std::string> valid;
};

const char *const listing =
    R"({"items":[{"meta":{"name":"m-1","revision":4},"spec":{"service":"db","address":"10.0.0.1:7","zone":"z","slots":2,"state":"ready",)"
    R"("born":12,"currentRole":"primary"}}],"more":false,"asOf":9})";
const char *const changes = R"({"events":[{"object":{"meta":{"name":"m-1","revision":4},"spec":{"x":[1,2,{}]}},"deleted":true}],"asOf":9})";
const char *const configuration =
    R"({"version":7,"routes":[{"name":"r","host":"h","service":"db","kind":"primary","maxStalenessMs":0,"timeoutMs":800,"priority":1}],)"
    R"("services":[{"name":"db","maxConns":24,"syncReplicas":1}],"limits":{"txIdleMs":3000}})";
const char *const settingsText =
    R"({"instance":"i","failureDomain":"z","listen":{"callers":"1.1.1.1:1","readiness":"1.1.1.1:2","peers":"1.1.1.1:3"},)"
    R"("store":"1.1.1.1:4","promotions":"1.1.1.1:5","stopGraceMs":6000,"newFleet":true})";

std::string serialized(const fleet::RenewRequest &request)
{
    return fleet::impl::encode(request).SerializeAsString();
}

std::vector<Target> targets()
{
    fleet::RenewRequest request;
    request.instance = InstanceName{"proxy-1"};
    request.downstreamProxies = {{InstanceName{"proxy-2"}, Milliseconds{40}}};
    request.observations.resize(2);
    fleet::RenewReply reply;
    reply.records.id = {7, 3};
    reply.records.changed.resize(2);
    reply.records.removed = {GroupName{"g"}};
    reply.catalogAge = Milliseconds{7};
    reply.catalog.push_back({CatalogPart::Members,
                             {Revision{3}, Revision{9}, true, {{ObjectKind{}, ObjectName{"m-1"}, Revision{4}, "{\"zone\":\"z\"}", false}}},
                             fleet::RelayedContent::Sent,
                             Milliseconds{40}});
    reply.lease.holder = InstanceName{"proxy-1"};
    const ObjectKind kind{"servers"};
    return {
        {"caller line",
         [](const std::string &text) { (void)LineProtocol::parseCaller(text); },
         {"START lepu270 u3f1", "QUERY 5c0e EXECUTE s1 1a4 xkq", "QUERY 5c0e PREPARE s1 WRITE q2c", "QUERY 1 SET a b", "TERMINATE"}},
        {"member line",
         [](const std::string &text) { (void)LineProtocol::parseMember(text); },
         {"ROW qhz kwm", "COMPLETE 7.1f3", "READY T 3.1209", "ERROR READONLY i-7", "READY I -"}},
        {"member status",
         [](const std::string &text) { (void)LineProtocol::parseStatusReply(text); },
         {"replica 3 3.1209 0 12 2 17", "primary 4 4.99999999999 0 0 0 0"}},
        {"listing",
         [kind](const std::string &text) {
             if (const auto decoded = decodeListing(kind, StoreEpoch{3}, text)) {
                 for (const auto &object : decoded->listing.objects) {
                     (void)decodeMember(object.name, object.value);
                     (void)leadership::decodeFleetObject(object);
                 }
             }
         },
         {listing}},
        {"changes", [kind](const std::string &text) { (void)decodeChanges(kind, Revision{3}, text); }, {changes}},
        {"configuration", [](const std::string &text) { (void)decodeConfiguration(text); }, {configuration}},
        {"settings", [](const std::string &text) { (void)readSessionSettings("settings.json", text); }, {settingsText}},
        {"renewal",
         [](const std::string &text) {
             fleet::impl::wire::RenewRequest message;
             if (message.ParseFromString(text)) {
                 (void)fleet::impl::decode(message);
             }
         },
         {serialized(request)}},
        {"renewal reply",
         [](const std::string &text) {
             fleet::impl::wire::RenewReply message;
             if (message.ParseFromString(text)) {
                 const auto decoded = fleet::impl::decode(message);
                 ObjectHistory history;
                 for (const auto &part : decoded.catalog) {
                     (void)history.apply(part.objects);
                     for (const auto &object : part.objects.objects) {
                         (void)decodeMember(object.name, object.value);
                         (void)decodeConfiguration(object.value);
                         (void)leadership::decodeFleetObject(object);
                     }
                 }
                 leadership::RecordDeltaReceiver receiver;
                 (void)receiver.decode(decoded.records);
             }
         },
         {fleet::impl::encode(reply).SerializeAsString()}},
    };
}

/// Values of another type, or out of range, that replace a part of a valid text.
const std::vector<std::string> oddValues{
    "null", "-1", "1e400", "1e18", "18446744073709551616", "[]", "{}", "\"\"", "true", "\"\\ud800\"", "0.5"};

/// Changes a valid text in one of several ways.
std::string damaged(std::string text, Random &random)
{
    const auto position = static_cast<std::size_t>(random.below(text.size() + 1));
    switch (random.below(6)) {
    case 0:
        return text.substr(0, position);
    case 1:
        return text.insert(position, 1, static_cast<char>(random.below(256)));
    case 2:
        if (position < text.size()) {
            text[position] = static_cast<char>(random.below(256));
        }
        return text;
    case 3:
        return text.insert(position, text.substr(position / 2));
    case 4:
        return text.erase(position, static_cast<std::size_t>(random.below(9)));
    default: {
        // From the character after a colon or comma up to the next separator.
        const auto from = text.find_first_of(":,", position);
        const auto to = from == std::string::npos ? from : text.find_first_of(",}]", from + 1);
        return to == std::string::npos ? text : text.replace(from + 1, to - from - 1, oddValues[random.below(oddValues.size())]);
    }
    }
}

std::string nested(const std::string &before, const std::string &after, std::size_t depth)
{
    return before + std::string(depth, '[') + std::string(depth, ']') + after;
}

} // namespace

Test(damagedinput, noDecoderFailsOnRandomDamage)
{
    // The library logs each string that is not UTF-8.
    const google::protobuf::LogSilencer silencer;
    constexpr std::uint64_t rounds = 20'000;
    constexpr std::uint64_t maxChanges = 4;
    for (const auto &target : targets()) {
        Random random(20261204);
        for (std::uint64_t round = 0; round < rounds; ++round) {
            auto text = target.valid[random.below(target.valid.size())];
            for (auto change = random.below(maxChanges) + 1; change > 0; --change) {
                text = damaged(std::move(text), random);
            }
            target.decode(text);
        }
    }
}

// A stored entry may come from another writer. Writing a deeply nested value as text ended the process by a stack overflow.
Test(damagedinput, deeplyNestedValuesAreRejected)
{
    constexpr std::size_t depth = 400'000;
    const auto page = decodeListing(
        ObjectKind{"servers"}, StoreEpoch{}, nested(R"({"items":[{"meta":{"name":"a","revision":4},"spec":)", R"(}],"asOf":9})", depth));
    cr_assert(page && page->listing.objects.size() == 1 && page->listing.objects.front().value == "null");
    cr_assert(!decodeConfiguration(nested(R"({"version":7,"routes":)", "}", depth)));
    cr_assert(!decodeMember(ObjectName{"a"}, nested(R"({"service":)", "}", depth)));
    StoredObject object;
    object.name = leadership::leaseKey().name;
    object.value = nested(R"({"holder":)", "}", depth);
    const auto lease = leadership::decodeFleetObject(object);
    cr_assert(!leadership::isReadable(lease) && !std::get<leadership::LeaseState>(lease).holder.empty(), "it counts as held");
    cr_assert(!readSessionSettings("settings.json", nested(R"({"listen":)", "}", depth)));
}

Test(damagedinput, overlongLinesAreRejectedOrKeptAsTheyAre)
{
    const std::string longText(LineProtocol::maxMessage, 'x');
    for (const auto *prefix : {"START ", "QUERY 1 READ ", "QUERY 1 SET a ", "QUERY ", ""}) {
        (void)LineProtocol::parseCaller(prefix + longText);
        (void)LineProtocol::parseMember(prefix + longText);
    }
    (void)LineProtocol::parseStatusReply("replica 3 3." + longText);
}
