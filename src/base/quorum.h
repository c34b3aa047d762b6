// The size of a majority.
#pragma once

#include <cstddef>

namespace cardamomstep {

/// Returns the smallest number that is more than half of \a members.
[[nodiscard]] constexpr std::size_t majorityOf(std::size_t members) noexcept
{
    return members / 2 + 1;
}

} // namespace cardamomstep
