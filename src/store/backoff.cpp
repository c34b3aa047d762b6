// Draws the waits of a Backoff.
#include "store/backoff.h"

#include <algorithm>

namespace cardamomstep {

namespace {

/// The floor of a wait is this part of its ceiling, so that a wait is never almost nothing.
constexpr int floorPart = 8;

} // namespace

Milliseconds Backoff::next(Random &random)
{
    auto ceiling = options_.initialDelay;
    for (unsigned doubled = 0; doubled < failures_ && ceiling < options_.maxDelay; ++doubled) {
        ceiling *= 2;
    }
    ceiling = std::min(ceiling, options_.maxDelay);
    ++failures_;
    const auto floor = ceiling / floorPart;
    const auto span = static_cast<std::uint64_t>((ceiling - floor).count());
    return floor + Milliseconds{random.below(span + 1)};
}

} // namespace cardamomstep
