// Forward declarations of the sessions module.
#pragma once

#include <cstdint>

namespace cardamomstep {

enum class TokenStanding : std::uint8_t;
class SessionToken;
class FreshnessHistory;
struct ReadRequirements;
class ReadPlan;
class ReadRouter;

} // namespace cardamomstep
