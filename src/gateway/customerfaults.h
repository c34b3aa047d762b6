// Logs the faults of a configuration's customers.
#pragma once

#include "logging/log.h"
#include "relay/routingtable.h"

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace cardamomstep::gateway {

/// Writes one line for each customer or key that was left out of \a configuration.
inline void logCustomerFaults(const relay::Configuration &configuration,
                              const std::function<void(LogLevel, std::string_view, const std::vector<LogField> &)> &log)
{
    for (const auto &fault : configuration.customerFaults) {
        log(LogLevel::Warning,
            "customer_unreadable",
            {{"version", static_cast<std::int64_t>(configuration.version)}, {"position", fault.position}, {"fault", fault.description}});
    }
}

} // namespace cardamomstep::gateway
