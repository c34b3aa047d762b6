// A running estimate of a duration: smoothed mean and deviation.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace cardamomstep {

/// Smoothed mean and mean deviation of a duration, as TCP keeps them for its round trip.
class SmoothedTime
{
public:
    SmoothedTime() = default;

    /// Starts from \a first until something is measured.
    explicit SmoothedTime(Microseconds first) noexcept
        : mean_(static_cast<double>(first.count()))
    {
    }

    /// Takes in one measured duration.
    void observe(Microseconds measured) noexcept
    {
        const auto value = static_cast<double>(measured.count());
        if (!observed_) {
            observed_ = true;
            mean_ = value;
            deviation_ = value / 2;
            return;
        }
        const auto distance = value - mean_;
        mean_ += meanGain * distance;
        deviation_ += deviationGain * ((distance < 0 ? -distance : distance) - deviation_);
    }

    /// Raises the mean to \a least, after a measurement proved it too low.
    void raiseTo(Microseconds least) noexcept
    {
        observed_ = true;
        mean_ = std::max(mean_, static_cast<double>(least.count()));
    }

    /// True once something was measured.
    [[nodiscard]] bool observed() const noexcept
    {
        return observed_;
    }

    [[nodiscard]] Microseconds mean() const noexcept
    {
        return Microseconds{static_cast<std::int64_t>(mean_)};
    }

    /// The mean with \a factor deviations on top.
    [[nodiscard]] Microseconds withMargin(double factor) const noexcept
    {
        return Microseconds{static_cast<std::int64_t>(mean_ + factor * deviation_)};
    }

private:
    static constexpr double meanGain = 1.0 / 16;
    static constexpr double deviationGain = 1.0 / 8;

    double mean_ = 0;
    double deviation_ = 0;
    bool observed_ = false;
};

} // namespace cardamomstep
