// A small seeded random number generator, so that every random choice can be replayed.
#pragma once

#include <cstdint>
#include <limits>

namespace cardamomstep {

/// A SplitMix64 generator that satisfies the standard's uniform random bit generator requirements.
class Random
{
public:
    using result_type = std::uint64_t; // NOLINT(readability-identifier-naming): name set by the standard library

    explicit Random(std::uint64_t seed) noexcept
        : state_(seed)
    {
    }

    [[nodiscard]] static constexpr result_type min() noexcept
    {
        return 0;
    }
    [[nodiscard]] static constexpr result_type max() noexcept
    {
        return std::numeric_limits<result_type>::max();
    }

    /// Returns the next 64 random bits.
    result_type operator()() noexcept
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        auto mixed = state_;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31U);
    }

    /// Returns a number from 0 to \a bound - 1; 0 if \a bound is 0.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) noexcept
    {
        return bound == 0 ? 0 : (*this)() % bound;
    }

private:
    std::uint64_t state_;
};

} // namespace cardamomstep
