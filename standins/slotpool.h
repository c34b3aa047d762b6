// Limits and counts the slots or connections of a stand-in member.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace cardamomstep::standins {

/// A bounded number of slots, with the peak numbers in use and waiting. Thread-safe.
class SlotPool
{
public:
    explicit SlotPool(unsigned limit) noexcept
        : limit_(limit)
    {
    }

    /// Acquires a slot; blocks until one is free.
    void acquire()
    {
        std::unique_lock lock(mutex_);
        ++waiting_;
        peakWaiting_ = std::max(peakWaiting_, inUse_ + waiting_ > limit_ ? inUse_ + waiting_ - limit_ : 0);
        free_.wait(lock, [this] { return inUse_ < limit_; });
        --waiting_;
        ++inUse_;
        peakInUse_ = std::max(peakInUse_, inUse_);
    }

    /// Acquires a slot if one is free; returns false otherwise.
    [[nodiscard]] bool tryAcquire()
    {
        const std::lock_guard lock(mutex_);
        if (inUse_ >= limit_) {
            return false;
        }
        ++inUse_;
        peakInUse_ = std::max(peakInUse_, inUse_);
        return true;
    }

    void release()
    {
        const std::lock_guard lock(mutex_);
        --inUse_;
        free_.notify_one();
    }

    [[nodiscard]] unsigned inUse() const
    {
        const std::lock_guard lock(mutex_);
        return inUse_;
    }
    [[nodiscard]] unsigned peakInUse() const
    {
        const std::lock_guard lock(mutex_);
        return peakInUse_;
    }
    /// Peak number of threads that waited for a slot at the same time.
    [[nodiscard]] unsigned peakWaiting() const
    {
        const std::lock_guard lock(mutex_);
        return peakWaiting_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable free_;
    unsigned limit_;
    unsigned inUse_ = 0;
    unsigned waiting_ = 0;
    unsigned peakInUse_ = 0;
    unsigned peakWaiting_ = 0;
};

/// Acquires a slot for the duration of a scope.
class SlotGuard
{
public:
    explicit SlotGuard(SlotPool &slots)
        : slots_(slots)
    {
        slots_.acquire();
    }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;
    ~SlotGuard()
    {
        slots_.release();
    }

private:
    SlotPool &slots_;
};

} // namespace cardamomstep::standins
