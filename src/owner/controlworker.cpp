// A thread that sends report requests and orders on one control connection.
#include "owner/controlworker.h"

#include <utility>

namespace cardamomstep {

ControlWorker::ControlWorker(const Address &remote, const ConnectionIdentity &identity)
    : connection_(remote, identity)
    , thread_([this] { run(); })
{
}

ControlWorker::~ControlWorker()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    condition_.notify_one();
    thread_.join();
}

bool ControlWorker::add(Job job)
{
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || jobs_.size() >= maxJobs) {
            return false;
        }
        jobs_.push_back(std::move(job));
    }
    condition_.notify_one();
    return true;
}

void ControlWorker::run()
{
    for (;;) {
        Job job;
        {
            std::unique_lock lock(mutex_);
            condition_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
            if (stopping_) {
                return;
            }
            job = std::move(jobs_.front());
            jobs_.pop_front();
        }
        job(connection_);
    }
}

} // namespace cardamomstep
