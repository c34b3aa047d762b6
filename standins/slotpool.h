// Counted slots and connections of a stand-in member.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace cardamomstep::standins {

/// A bounded number of places, with the most ever taken.
class Places
{
public:
    explicit Places(unsigned limit) noexcept
        : limit_(limit)
    {
    }

    /// Takes a place, waiting for one.
    void take()
    {
        std::unique_lock lock(mutex_);
        ++waiting_;
        mostWaiting_ = std::max(mostWaiting_, taken_ + waiting_ > limit_ ? taken_ + waiting_ - limit_ : 0);
        free_.wait(lock, [this] { return taken_ < limit_; });
        --waiting_;
        ++taken_;
        mostTaken_ = std::max(mostTaken_, taken_);
    }

    /// Takes a place when one is free; false otherwise.
    [[nodiscard]] bool tryTake()
    {
        const std::lock_guard lock(mutex_);
        if (taken_ >= limit_) {
            return false;
        }
        ++taken_;
        mostTaken_ = std::max(mostTaken_, taken_);
        return true;
    }

    void giveBack()
    {
        const std::lock_guard lock(mutex_);
        --taken_;
        free_.notify_one();
    }

    [[nodiscard]] unsigned taken() const
    {
        const std::lock_guard lock(mutex_);
        return taken_;
    }
    [[nodiscard]] unsigned mostTaken() const
    {
        const std::lock_guard lock(mutex_);
        return mostTaken_;
    }
    /// The most that ever waited at once.
    [[nodiscard]] unsigned mostWaiting() const
    {
        const std::lock_guard lock(mutex_);
        return mostWaiting_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable free_;
    unsigned limit_;
    unsigned taken_ = 0;
    unsigned waiting_ = 0;
    unsigned mostTaken_ = 0;
    unsigned mostWaiting_ = 0;
};

/// Holds a place of \a places for a scope.
class PlaceGuard
{
public:
    explicit PlaceGuard(Places &places)
        : places_(places)
    {
        places_.take();
    }
    PlaceGuard(const PlaceGuard &) = delete;
    PlaceGuard &operator=(const PlaceGuard &) = delete;
    ~PlaceGuard()
    {
        places_.giveBack();
    }

private:
    Places &places_;
};

} // namespace cardamomstep::standins
