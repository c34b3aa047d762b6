// Lets a request's thread wait for one kind of event without waking the threads that wait for others.
#pragma once

#include "base/time.h"
#include "owner/fwd.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace cardamomstep {

/// One waiting thread; signal() must be called with the mutex held that the thread waits with.
class Waiter
{
public:
    /// Wakes the thread.
    void signal() noexcept
    {
        signalled_ = true;
        condition_.notify_one();
    }

    /// Waits for signal() or until \a until; returns true if signal() was called.
    bool wait(std::unique_lock<std::mutex> &lock, TimePoint until)
    {
        const auto deadline = std::chrono::steady_clock::time_point(until.time_since_epoch());
        const bool signalledInTime = condition_.wait_until(lock, deadline, [this] { return signalled_; });
        signalled_ = false;
        return signalledInTime;
    }

private:
    std::condition_variable condition_;
    bool signalled_ = false;
};

/// The threads that wait for one kind of event.
class WaitList
{
public:
    /// Keeps a waiter in a list for the lifetime of this object.
    class Entry
    {
    public:
        Entry(WaitList &list, Waiter &waiter)
            : list_(list)
            , waiter_(waiter)
        {
            list_.waiters_.push_back(&waiter_);
        }
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;
        ~Entry()
        {
            std::erase(list_.waiters_, &waiter_);
        }

    private:
        WaitList &list_;
        Waiter &waiter_;
    };

    /// Wakes every thread in the list.
    void signalAll() noexcept
    {
        for (auto *waiter : waiters_) {
            waiter->signal();
        }
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return waiters_.empty();
    }

private:
    std::vector<Waiter *> waiters_;
};

} // namespace cardamomstep
