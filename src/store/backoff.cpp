// Draws the delays of a Backoff.
#include "store/backoff.h"

#include <algorithm>

namespace cardamomstep {

namespace {

/// The floor of a delay is its ceiling divided by this, so that no delay is close to zero.
constexpr int floorDivisor = 8;

} // namespace

Milliseconds Backoff::next(Random &random)
{
    auto ceiling = options_.initialDelay;
    for (unsigned doublings = 0; doublings < failures_ && ceiling < options_.maxDelay; ++doublings) {
        ceiling *= 2;
    }
    ceiling = std::min(ceiling, options_.maxDelay);
    ++failures_;
    const auto floor = ceiling / floorDivisor;
    const auto span = static_cast<std::uint64_t>((ceiling - floor).count());
    return floor + Milliseconds{random.below(span + 1)};
}

} // namespace cardamomstep
