// What a session proxy derives from its settings when it starts.
#pragma once

#include "base/hash.h"
#include "evloop/clock.h"
#include "relay/directory.h"
#include "relay/engine.h"
#include "settings/sessionsettings.h"

#include <cstdint>

namespace cardamomstep::gateway {

/// Returns a seed that differs between processes, and between two starts of one.
[[nodiscard]] inline std::uint64_t seedOf(const SessionSettings &settings)
{
    return stableHash(settings.instance.text(), static_cast<std::uint64_t>(evloop::bootTimeNow().time_since_epoch().count()));
}

/// Returns how exactly rate limits of customers must hold.
[[nodiscard]] inline customers::LimitTerms limitTermsOf(const SessionSettings &settings)
{
    customers::LimitTerms terms;
    terms.window = settings.limits.window;
    terms.overage = settings.limits.overage;
    terms.slack = settings.limits.slack;
    return terms;
}

/// Returns the limits of the engine of a process with \a settings.
[[nodiscard]] inline relay::EngineLimits engineLimitsOf(const SessionSettings &settings)
{
    relay::EngineLimits limits;
    limits.memberDrain = settings.memberDrain;
    limits.learnMemberCapacity = settings.learnMemberCapacity;
    limits.customers = limitTermsOf(settings);
    return limits;
}

/// Returns the limits of the directory of members of a process with \a settings.
[[nodiscard]] inline relay::DirectoryLimits directoryLimitsOf(const SessionSettings &settings)
{
    relay::DirectoryLimits limits;
    limits.memberDrain = settings.memberDrain;
    return limits;
}

} // namespace cardamomstep::gateway
