// A running estimate of a duration: smoothed mean and deviation.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace cardamomstep {

/// Smoothed mean and mean deviation of a duration, as TCP computes them for its round-trip time.
class SmoothedTime
{
public:
    SmoothedTime() = default;

    /// Uses \a initial as the mean until the first measurement.
    explicit SmoothedTime(Microseconds initial) noexcept
        : mean_(static_cast<double>(initial.count()))
    {
    }

    /// Adds one measured duration.
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

    /// Raises the mean to at least \a minimum, after a measurement showed that it is too low.
    void raiseTo(Microseconds minimum) noexcept
    {
        observed_ = true;
        mean_ = std::max(mean_, static_cast<double>(minimum.count()));
    }

    /// True after the first measurement.
    [[nodiscard]] bool observed() const noexcept
    {
        return observed_;
    }

    [[nodiscard]] Microseconds mean() const noexcept
    {
        return Microseconds{static_cast<std::int64_t>(mean_)};
    }

    /// The mean plus \a factor deviations.
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
