// A fixed number of threads that run short tasks in the background.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cardamomstep {

/// Starts tasks in the order in which they were added, one at a time on each of its threads.
class TaskPool
{
public:
    using Task = std::function<void()>;

    explicit TaskPool(std::size_t threads)
    {
        for (std::size_t index = 0; index < threads; ++index) {
            threads_.emplace_back([this] { run(); });
        }
    }
    TaskPool(const TaskPool &) = delete;
    TaskPool &operator=(const TaskPool &) = delete;

    /// Blocks until the tasks in progress have finished; waiting tasks are dropped.
    ~TaskPool()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        condition_.notify_all();
        for (auto &thread : threads_) {
            thread.join();
        }
    }

    /// Adds a task; returns false and drops it if maxTasks tasks wait already or the pool is stopping.
    bool add(Task task)
    {
        {
            const std::lock_guard lock(mutex_);
            if (stopping_ || tasks_.size() >= maxTasks) {
                return false;
            }
            tasks_.push_back(std::move(task));
        }
        condition_.notify_one();
        return true;
    }

private:
    static constexpr std::size_t maxTasks = 1024;

    void run()
    {
        for (;;) {
            Task task;
            {
                std::unique_lock lock(mutex_);
                condition_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
                if (stopping_) {
                    return;
                }
                task = std::move(tasks_.front());
                tasks_.pop_front();
            }
            task();
        }
    }

    std::mutex mutex_;
    std::condition_variable condition_;
    /// Guarded by mutex_, like stopping_.
    std::deque<Task> tasks_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace cardamomstep
