// Stable 64-bit hashing of text: the same on every proxy and in every release.
#pragma once

#include <cstdint>
#include <string_view>

namespace cardamomstep {

/// Hashes \a text by FNV-1a with a final mix, chained from \a seed.
[[nodiscard]] constexpr std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ULL) noexcept
{
    auto hash = seed;
    for (const char letter : text) {
        hash ^= static_cast<unsigned char>(letter);
        hash *= 0x100000001b3ULL;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace cardamomstep
