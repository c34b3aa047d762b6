// Stable 64-bit hashing of text: equal on every proxy and in every release.
#pragma once

#include <cstdint>
#include <string_view>

namespace cardamomstep {

/// Returns the FNV-1a hash of \a text with a final mixing step.
///
/// A previous hash as \a seed chains the hashes of several texts.
[[nodiscard]] constexpr std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ULL) noexcept
{
    auto hash = seed;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace cardamomstep
