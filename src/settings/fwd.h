// Forward declarations of the settings module.
#pragma once

#include <cstdint>

namespace cardamomstep {

enum class LogLevel : std::uint8_t;
enum class LogFormat : std::uint8_t;
struct Settings;

} // namespace cardamomstep
