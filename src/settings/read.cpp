// Reads the sections of the settings and checks them for consistency.
#include "settings/read.h"

#include "http/address.h"
#include "settings/impl/document.h"
#include "settings/impl/fields.h"
#include "json/reader.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace cardamomstep {

namespace {

using json::Length;
using json::ObjectReader;
using namespace settings::impl;

constexpr Length pathLength{1, 4096};
constexpr Length tokenLength{16, 256};
constexpr Length seedCount{0, 4096};

constexpr std::uint32_t maxConnections = 1'000'000;
constexpr std::uint32_t maxInFlight = 1'000'000;
constexpr std::uint64_t maxBodyBytes = std::uint64_t{16} << 20U;
constexpr std::uint64_t maxTokenBytes = std::uint64_t{64} << 10U;
constexpr unsigned maxThreads = 4096;
constexpr std::int64_t maxWindowMs = 600'000;
constexpr std::int64_t minSilenceMs = 20;
constexpr std::int64_t maxSilenceMs = 60'000;
constexpr std::int64_t maxDrainMs = 3'600'000;
/// The least ratio of silence to heartbeat interval, so that one overdue heartbeat does not count as a failure.
constexpr int heartbeatsPerSilence = 2;

constexpr std::array<std::pair<std::string_view, LogFormat>, 2> logFormats{{{"keyvalue", LogFormat::KeyValue}, {"json", LogFormat::Json}}};

std::string readPath(ObjectReader &reader, const std::string &key)
{
    return reader.optionalText(key, pathLength).value_or(std::string());
}

Milliseconds readMilliseconds(ObjectReader &reader, const std::string &key, json::Range<std::int64_t> range, Milliseconds fallback)
{
    return Milliseconds{reader.number<std::int64_t>(key, range, fallback.count())};
}

/// Reports each of \a keys that is missing while another one is set.
void requireTogether(ObjectReader &reader, const std::vector<std::pair<std::string, bool>> &keys)
{
    bool any = false;
    for (const auto &[key, isSet] : keys) {
        any = any || isSet;
    }
    for (const auto &[key, isSet] : keys) {
        if (any && !isSet) {
            reader.fault(key, "missing: the TLS files must be set together");
        }
    }
}

CallerSettings readCallers(ObjectReader reader)
{
    CallerSettings callers;
    callers.listen = readAddress(reader, "listen");
    callers.certificateFile = readPath(reader, "certificateFile");
    callers.keyFile = readPath(reader, "keyFile");
    requireTogether(reader, {{"certificateFile", reader.has("certificateFile")}, {"keyFile", reader.has("keyFile")}});
    reader.rejectUnknown();
    return callers;
}

OperatorSettings readOperators(ObjectReader reader)
{
    OperatorSettings operators;
    operators.listen = readAddress(reader, "listen");
    operators.token = reader.text("token", tokenLength);
    reader.rejectUnknown();
    return operators;
}

PeerSettings readPeers(ObjectReader reader)
{
    PeerSettings peers;
    peers.listen = readAddress(reader, "listen");
    peers.advertise = readAddress(reader, "advertise");
    peers.certificateFile = readPath(reader, "certificateFile");
    peers.keyFile = readPath(reader, "keyFile");
    peers.caFile = readPath(reader, "caFile");
    requireTogether(
        reader, {{"certificateFile", reader.has("certificateFile")}, {"keyFile", reader.has("keyFile")}, {"caFile", reader.has("caFile")}});
    reader.rejectUnknown();
    return peers;
}

PlatformSettings readPlatform(ObjectReader reader)
{
    PlatformSettings platform;
    platform.store = readAddress(reader, "store");
    const auto instanceList = reader.optionalText("instanceList", addressLength);
    platform.instanceList = instanceList ? checkAddress(reader, "instanceList", *instanceList) : platform.store;
    reader.rejectUnknown();
    return platform;
}

std::vector<Seed> readSeeds(ObjectReader &parent, std::vector<json::Fault> &faults)
{
    std::vector<Seed> seeds;
    std::set<InstanceName> names;
    std::size_t index = 0;
    for (const auto &element : parent.optionalArray("seeds", seedCount)) {
        ObjectReader reader(element, json::elementPath("seeds", index++), faults);
        Seed seed;
        seed.name = readName<InstanceName>(reader, "name");
        seed.failureDomain = readName<FailureDomain>(reader, "failureDomain");
        seed.address = readAddress(reader, "address");
        if (!seed.name.empty() && !names.insert(seed.name).second) {
            reader.fault("name", "expected a name that no other seed has, got \"" + seed.name.text() + "\"");
        }
        reader.rejectUnknown();
        seeds.push_back(std::move(seed));
    }
    return seeds;
}

LimitSettings readLimits(ObjectReader reader)
{
    LimitSettings limits;
    limits.callerConnections = reader.number<std::uint32_t>("callerConnections", {1, maxConnections}, limits.callerConnections);
    limits.bodyBytes = reader.number<std::uint64_t>("bodyBytes", {1024, maxBodyBytes}, limits.bodyBytes);
    limits.tokenBytes = reader.number<std::uint64_t>("tokenBytes", {64, maxTokenBytes}, limits.tokenBytes);
    limits.threads = reader.number<unsigned>("threads", {1, maxThreads}, limits.threads);
    limits.maxWindow = readMilliseconds(reader, "maxWindowMs", {1, maxWindowMs}, limits.maxWindow);
    limits.inFlight = reader.number<std::uint32_t>("inFlight", {1, maxInFlight}, limits.inFlight);
    reader.rejectUnknown();
    return limits;
}

FailoverSettings readFailover(ObjectReader reader)
{
    FailoverSettings failover;
    failover.silence = readMilliseconds(reader, "silenceMs", {minSilenceMs, maxSilenceMs}, failover.silence);
    failover.heartbeat = readMilliseconds(reader, "heartbeatMs", {1, maxSilenceMs}, failover.heartbeat);
    if (failover.silence < failover.heartbeat * heartbeatsPerSilence) {
        reader.fault(reader.has("silenceMs") ? "silenceMs" : "heartbeatMs",
                     "expected silenceMs of at least " + std::to_string(heartbeatsPerSilence) + " times heartbeatMs, got "
                         + std::to_string(failover.silence.count()) + " and " + std::to_string(failover.heartbeat.count()));
    }
    reader.rejectUnknown();
    return failover;
}

LogSettings readLog(ObjectReader reader)
{
    LogSettings log;
    log.level = reader.oneOf<LogLevel>("level", logLevels, log.level);
    log.format = reader.oneOf<LogFormat>("format", logFormats, log.format);
    log.file = readPath(reader, "file");
    reader.rejectUnknown();
    return log;
}

TraceSettings readTrace(ObjectReader reader)
{
    TraceSettings trace;
    trace.file = readPath(reader, "file");
    reader.rejectUnknown();
    return trace;
}

/// Reports each address that is configured for more than one listener.
void checkListeners(const Settings &settings, std::vector<json::Fault> &faults)
{
    std::map<Address, std::string> pathOf;
    const std::pair<const char *, const Address &> listeners[] = {{"callers.listen", settings.callers.listen},
                                                                  {"operators.listen", settings.operators.listen},
                                                                  {"peers.listen", settings.peers.listen}};
    for (const auto &[path, address] : listeners) {
        const auto [first, isNew] = pathOf.emplace(address, path);
        if (!isNew && !address.empty()) {
            faults.push_back({path, "expected another address than " + first->second + ", got \"" + address.text() + "\""});
        }
    }
}

Settings readAll(const nlohmann::json &value, std::vector<json::Fault> &faults)
{
    ObjectReader reader(value, "", faults);
    Settings settings;
    settings.instance = readName<InstanceName>(reader, "instance");
    settings.failureDomain = readName<FailureDomain>(reader, "failureDomain");
    if (reader.has("region")) {
        settings.region = readName<FailureDomain>(reader, "region").text();
    }
    settings.callers = readCallers(reader.object("callers"));
    settings.operators = readOperators(reader.object("operators"));
    settings.peers = readPeers(reader.object("peers"));
    settings.platform = readPlatform(reader.object("platform"));
    settings.seeds = readSeeds(reader, faults);
    settings.limits = readLimits(reader.optionalObject("limits"));
    settings.failover = readFailover(reader.optionalObject("failover"));
    settings.log = readLog(reader.optionalObject("log"));
    settings.trace = readTrace(reader.optionalObject("trace"));
    settings.drain = readMilliseconds(reader, "drainMs", {0, maxDrainMs}, settings.drain);
    reader.rejectUnknown();
    checkListeners(settings, faults);
    return settings;
}

} // namespace

Checked<Settings> readSettings(const std::string &fileName, std::string_view text)
{
    return settings::impl::readDocument<Settings>(fileName, text, readAll);
}

Checked<Settings> readSettingsFile(const std::string &fileName)
{
    return settings::impl::readFile<Settings>(fileName, readSettings);
}

} // namespace cardamomstep
