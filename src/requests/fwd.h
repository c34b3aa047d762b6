// Forward declarations of the requests module.
#pragma once

#include <cstdint>

namespace cardamomstep {

enum class Lane : std::uint8_t;
enum class WriteGoal : std::uint8_t;
struct AdmissionRequest;
class AdmissionQueue;
class HopMargin;
class RetryBudget;
class WriteAttempt;
class TransactionRegistry;

} // namespace cardamomstep
