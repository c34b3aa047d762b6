// How a request's thread waits for one thing to happen, without waking the threads that wait for others.
#pragma once

#include "base/time.h"
#include "owner/fwd.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace cardamomstep {

/// One waiting thread; signalled under the mutex that it waits with.
class Waiter
{
public:
    /// Wakes the thread.
    void signal() noexcept
    {
        signalled_ = true;
        condition_.notify_one();
    }

    /// Waits for signal() or until \a until; true when it was signalled.
    bool wait(std::unique_lock<std::mutex> &lock, TimePoint until)
    {
        const auto deadline = std::chrono::steady_clock::time_point(until.time_since_epoch());
        const bool woken = condition_.wait_until(lock, deadline, [this] { return signalled_; });
        signalled_ = false;
        return woken;
    }

private:
    std::condition_variable condition_;
    bool signalled_ = false;
};

/// The threads that wait for one kind of event.
class WaitList
{
public:
    /// Keeps a waiter in a list for as long as this lives.
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
