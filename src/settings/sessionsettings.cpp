// Reads the session proxy's settings.
#include "settings/sessionsettings.h"

#include "settings/impl/document.h"
#include "settings/impl/fields.h"

namespace cardamomstep {

namespace {

using namespace settings::impl;

constexpr std::int64_t maxGraceMs = 600'000;
constexpr std::int64_t maxHeartbeatMs = 60'000;

SessionListeners readListeners(ObjectReader reader)
{
    SessionListeners listen;
    listen.callers = readAddress(reader, "callers");
    listen.readiness = readAddress(reader, "readiness");
    listen.peers = readAddress(reader, "peers");
    const auto sessions = reader.optionalText("sessions", addressLength);
    listen.sessions = sessions ? checkAddress(reader, "sessions", *sessions) : Address{};
    const auto metrics = reader.optionalText("metrics", addressLength);
    listen.metrics = metrics ? checkAddress(reader, "metrics", *metrics) : Address{};
    return listen;
}

SessionSettings readAll(const nlohmann::json &value, std::vector<json::Fault> &faults)
{
    ObjectReader reader(value, "", faults);
    SessionSettings settings;
    settings.instance = readName<InstanceName>(reader, "instance");
    settings.failureDomain = readName<FailureDomain>(reader, "failureDomain");
    settings.listen = readListeners(reader.object("listen"));
    settings.store = readAddress(reader, "store");
    settings.promotions = readAddress(reader, "promotions");
    settings.stopGrace = Milliseconds{reader.number<std::int64_t>("stopGraceMs", {0, maxGraceMs}, settings.stopGrace.count())};
    settings.memberHeartbeat =
        Milliseconds{reader.number<std::int64_t>("memberHeartbeatMs", {1, maxHeartbeatMs}, settings.memberHeartbeat.count())};
    settings.memberDrain = Milliseconds{reader.number<std::int64_t>("memberDrainMs", {1, maxGraceMs}, settings.memberDrain.count())};
    settings.configurationDeadline =
        Milliseconds{reader.number<std::int64_t>("configurationDeadlineMs", {100, maxGraceMs}, settings.configurationDeadline.count())};
    settings.newFleet = reader.boolean("newFleet", settings.newFleet);
    settings.logLevel = reader.oneOf<LogLevel>("logLevel", logLevels, settings.logLevel);
    return settings;
}

} // namespace

Checked<SessionSettings> readSessionSettings(const std::string &fileName, std::string_view text)
{
    return settings::impl::readDocument<SessionSettings>(fileName, text, readAll);
}

Checked<SessionSettings> readSessionSettingsFile(const std::string &fileName)
{
    return settings::impl::readFile<SessionSettings>(fileName, readSessionSettings);
}

} // namespace cardamomstep
