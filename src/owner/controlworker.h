// A thread that carries out reports and orders on one control link, one after the other.
#pragma once

#include "members/httpconnection.h"
#include "owner/fwd.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace cardamomstep {

/// Runs jobs on a control link in the order in which they were added.
class ControlWorker
{
public:
    using Job = std::function<void(HttpControlLink &)>;

    ControlWorker(const Address &remote, const LinkIdentity &identity);
    ControlWorker(const ControlWorker &) = delete;
    ControlWorker &operator=(const ControlWorker &) = delete;

    /// Waits for the job in progress; jobs that did not begin are dropped.
    ~ControlWorker();

    /// Adds a job; beyond maxJobs waiting ones it is dropped and the result is false.
    [[nodiscard]] bool add(Job job);

private:
    static constexpr std::size_t maxJobs = 256;

    void run();

    HttpControlLink link_;
    std::mutex mutex_;
    std::condition_variable condition_;
    /// Guarded by mutex_.
    std::deque<Job> jobs_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace cardamomstep
