// Computes the report interval that a proxy's byte budget allows.
#include "groups/pacing.h"

#include <algorithm>

namespace cardamomstep {

Pacing paceReports(std::uint32_t groups, std::uint32_t members, const PacingBudget &budget) noexcept
{
    constexpr std::uint64_t millisecondsPerSecond = 1000;
    if (members <= budget.maxUnpacedMembers) {
        return Pacing{budget.minInterval, 1};
    }
    const std::uint64_t primaries = std::min(groups, members);
    const std::uint64_t replicas = members - primaries;
    const std::uint64_t factor = std::max(budget.replicaFactor, 1U);
    // Exchanges in one replica interval, in which each primary is queried `factor` times.
    const auto exchanges = primaries * factor + replicas;
    const auto bytes = exchanges * budget.bytesPerExchange;
    const auto interval = (bytes * millisecondsPerSecond) / (std::max<std::uint64_t>(budget.bytesPerSecond, 1) * factor) + 1;
    const auto bounded = std::clamp(Milliseconds{interval}, budget.minInterval, budget.maxInterval);
    return Pacing{bounded, budget.replicaFactor};
}

} // namespace cardamomstep
