// Forward declarations of the members module.
#pragma once

#include <cstdint>

namespace cardamomstep {

enum class MemberRole : std::uint8_t;
enum class ConnectionFault : std::uint8_t;
struct MemberReport;
struct MemberCall;
struct MemberReply;
struct ConnectionFailure;

} // namespace cardamomstep
