// A thread that calls a function repeatedly until it is destroyed.
#pragma once

#include "base/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace cardamomstep {

/// Calls a function repeatedly on a separate thread; each call returns the pause before the next one.
class Periodic
{
public:
    /// Returns the pause before the next call.
    using Function = std::function<Milliseconds()>;

    explicit Periodic(Function function)
        : function_(std::move(function))
        , thread_([this] { run(); })
    {
    }
    Periodic(const Periodic &) = delete;
    Periodic &operator=(const Periodic &) = delete;

    /// Stops the thread; blocks until the call in progress has finished.
    ~Periodic()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        condition_.notify_one();
        thread_.join();
    }

    /// Ends the current pause; while a call is in progress, the next call follows without a pause.
    void wake()
    {
        {
            const std::lock_guard lock(mutex_);
            woken_ = true;
        }
        condition_.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_) {
            woken_ = false;
            lock.unlock();
            const auto pause = function_();
            lock.lock();
            condition_.wait_for(lock, pause, [this] { return stopping_ || woken_; });
        }
    }

    Function function_;
    std::mutex mutex_;
    std::condition_variable condition_;
    /// Guarded by mutex_, like woken_.
    bool stopping_ = false;
    bool woken_ = false;
    std::thread thread_;
};

} // namespace cardamomstep
