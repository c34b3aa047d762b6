// Forward declarations of the statements slice.
#pragma once

#include <cstdint>

namespace cardamomstep {

enum class Access : std::uint8_t;
enum class Verb : std::uint8_t;
struct Statement;
struct Answer;

} // namespace cardamomstep
