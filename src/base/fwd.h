// Forward declarations of the base module: identifiers, log positions, errors and random numbers.
#pragma once

#include <cstdint>

namespace cardamomstep {

template<typename Tag>
class StrongId;

struct Term;
struct LogPosition;
struct Error;
struct SourcePosition;
enum class ErrorKind : std::uint8_t;
enum class Ran : std::uint8_t;

template<typename T>
class Result;

class Random;

} // namespace cardamomstep
