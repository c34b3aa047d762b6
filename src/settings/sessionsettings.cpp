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

RateLimitSettings readLimits(ObjectReader reader)
{
    RateLimitSettings limits;
    const auto windowSeconds = reader.decimal("windowS", {0.1, 3600}, static_cast<double>(limits.window.count()) / 1000);
    limits.window = Milliseconds{static_cast<std::int64_t>(windowSeconds * 1000)};
    limits.overage = reader.decimal("overage", {0, 10}, limits.overage);
    limits.slack = reader.decimal("slack", {0, 1'000'000}, limits.slack);
    return limits;
}

SessionSettings readAll(const nlohmann::json &value, std::vector<json::Fault> &faults)
{
    ObjectReader reader(value, "", faults);
    SessionSettings settings;
    settings.instance = readName<InstanceName>(reader, "instance");
    settings.failureDomain = readName<FailureDomain>(reader, "failureDomain");
    settings.region = Region{reader.optionalText("region", {0, 200}).value_or(std::string())};
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
    settings.limits = readLimits(reader.optionalObject("limits"));
    settings.refuseUnconfirmedKeysAfter = Milliseconds{reader.number<std::int64_t>("refuseUnconfirmedKeysAfterMs", {0, maxGraceMs}, 0)};
    settings.learnMemberCapacity = reader.boolean("learnMemberCapacity", settings.learnMemberCapacity);
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
