// Follows the platform's store and instance list on two threads.
#pragma once

#include "app/fleet.h"
#include "app/fwd.h"
#include "platform/storeclient.h"
#include "platform/watchresume.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cardamomstep {

/// Keeps a Fleet up to date from the store.
class StoreFollower
{
public:
    /// Takes the platform's instance list.
    using OnInstances = std::function<void(const std::vector<ListedInstance> &)>;

    StoreFollower(StoreClient &store, Fleet &fleet, OnInstances onInstances, std::uint64_t seed);
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    /// Stops after the calls in progress.
    ~StoreFollower();

    /// Whether this proxy watches the store itself; others learn from peers.
    void setWatching(bool watching);

    /// Time of the last answer that showed the configuration to be current; the origin when there was none.
    [[nodiscard]] TimePoint lastCurrent() const;

private:
    void follow();
    void list();
    void watch(const WatchAfter &step);
    void pollInstances();
    /// Sleeps; false when stopping.
    [[nodiscard]] bool sleepUntil(TimePoint time);
    [[nodiscard]] bool waitForTurn();

    StoreClient &store_;
    Fleet &fleet_;
    OnInstances onInstances_;
    mutable std::mutex mutex_;
    std::condition_variable condition_;
    /// Guarded by mutex_.
    bool stopping_ = false;
    bool watching_ = true;
    TimePoint lastCurrent_;
    /// Used by the following thread only.
    WatchResume resume_;
    std::thread follower_;
    std::thread poller_;
};

} // namespace cardamomstep
