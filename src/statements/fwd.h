// Forward declarations of the statements module.
#pragma once

#include <cstdint>

namespace cardamomstep {

enum class Access : std::uint8_t;
enum class Verb : std::uint8_t;
struct Statement;
struct Answer;

} // namespace cardamomstep
