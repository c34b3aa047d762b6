// A thread that sends report requests and orders on one control connection, one after the other.
#pragma once

#include "members/httpconnection.h"
#include "owner/fwd.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace cardamomstep {

/// Runs jobs on a control connection in the order in which they were added.
class ControlWorker
{
public:
    using Job = std::function<void(HttpControlConnection &)>;

    ControlWorker(const Address &remote, const ConnectionIdentity &identity);
    ControlWorker(const ControlWorker &) = delete;
    ControlWorker &operator=(const ControlWorker &) = delete;

    /// Waits for the running job; jobs that have not started are dropped.
    ~ControlWorker();

    /// Adds a job. Returns false, and drops the job, when maxJobs jobs are waiting or the worker is stopping.
    [[nodiscard]] bool add(Job job);

private:
    /// Upper limit of the waiting jobs.
    static constexpr std::size_t maxJobs = 256;

    void run();

    HttpControlConnection connection_;
    std::mutex mutex_;
    std::condition_variable condition_;
    /// Guarded by mutex_.
    std::deque<Job> jobs_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace cardamomstep
