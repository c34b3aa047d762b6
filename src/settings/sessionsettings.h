// The settings of the session proxy, and functions that read them from JSON.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "settings/settings.h"
#include "json/checked.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomstep {

/// The addresses on which the session proxy listens.
struct SessionListeners {
    /// Callers' sessions.
    Address callers;
    /// Readiness probe.
    Address readiness;
    /// Other proxies, over gRPC.
    Address peers;
    /// Sessions that other proxies forward; when empty, none are accepted or forwarded.
    Address sessions;
    /// Metrics page; not served when empty.
    Address metrics;

    [[nodiscard]] bool operator==(const SessionListeners &) const = default;
};

/// How exactly rate limits of customers must hold: in any window at most (rate x window + burst) x (1 + overage) + slack operations.
struct RateLimitSettings {
    Milliseconds window{5000};
    double overage = 0;
    double slack = 0;

    [[nodiscard]] bool operator==(const RateLimitSettings &) const = default;
};

/// All settings of one session proxy.
struct SessionSettings {
    InstanceName instance;
    FailureDomain failureDomain;
    /// Region of the failure domain; empty if the fleet stands in one region.
    Region region;
    SessionListeners listen;
    /// The platform's store.
    Address store;
    /// The service that promotes a member to primary.
    Address promotions;
    /// Time from the request to stop until the platform kills the process.
    Milliseconds stopGrace{6000};
    /// Time between two heartbeats of a member in the store.
    Milliseconds memberHeartbeat{1200};
    /// How long a member serves after it announced that it drains; it gets no new work at the end of that time.
    Milliseconds memberDrain{7000};
    /// Time within which an accepted configuration must be in force.
    Milliseconds configurationDeadline{3000};
    /// The whole fleet starts for the first time, so the store has lost none of its objects.
    bool newFleet = false;
    RateLimitSettings limits;
    /// Without confirmation of its configuration for this long, a proxy refuses operations of customers; 0 for never.
    Milliseconds refuseUnconfirmedKeysAfter{0};
    /// Statements are distributed by what each member was found to take well.
    bool learnMemberCapacity = false;
    LogLevel logLevel = LogLevel::Info;

    [[nodiscard]] bool operator==(const SessionSettings &) const = default;
};

/// Reads settings from JSON; unknown keys are ignored, since newer platforms may add some.
[[nodiscard]] Checked<SessionSettings> readSessionSettings(const std::string &fileName, std::string_view text);

/// Reads the settings file \a fileName.
[[nodiscard]] Checked<SessionSettings> readSessionSettingsFile(const std::string &fileName);

} // namespace cardamomstep
