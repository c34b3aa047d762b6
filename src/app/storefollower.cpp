// Follows the platform's store and instance list.
#include "app/storefollower.h"

#include "logging/log.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

constexpr Milliseconds listTimeout{3'000};
constexpr Milliseconds instancesTimeout{1'000};
/// The instance list is read this often in a small fleet; a larger one reads it less often, so that the fleet's calls stay bounded.
constexpr Milliseconds shortestPoll{1'000};
constexpr Milliseconds pollForEachProxy{10};

} // namespace

StoreFollower::StoreFollower(StoreClient &store, Fleet &fleet, OnInstances onInstances, std::uint64_t seed)
    : store_(store)
    , fleet_(fleet)
    , onInstances_(std::move(onInstances))
    , resume_({}, seed)
    , follower_([this] { follow(); })
    , poller_([this] { pollInstances(); })
{
}

StoreFollower::~StoreFollower()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    condition_.notify_all();
    follower_.join();
    poller_.join();
}

void StoreFollower::setWatching(bool watching)
{
    {
        const std::lock_guard lock(mutex_);
        watching_ = watching;
    }
    condition_.notify_all();
}

TimePoint StoreFollower::lastCurrent() const
{
    const std::lock_guard lock(mutex_);
    return lastCurrent_;
}

bool StoreFollower::sleepUntil(TimePoint time)
{
    std::unique_lock lock(mutex_);
    const auto until = std::chrono::steady_clock::time_point(time.time_since_epoch());
    return !condition_.wait_until(lock, until, [this] { return stopping_; });
}

bool StoreFollower::waitForTurn()
{
    std::unique_lock lock(mutex_);
    condition_.wait(lock, [this] { return stopping_ || watching_; });
    return !stopping_;
}

void StoreFollower::follow()
{
    while (waitForTurn()) {
        const auto step = resume_.next(fleet_.digest().complete, steadyNow());
        if (const auto *pause = std::get_if<PauseUntil>(&step)) {
            if (!sleepUntil(pause->time)) {
                return;
            }
        } else if (const auto *watching = std::get_if<WatchAfter>(&step)) {
            watch(*watching);
        } else {
            list();
        }
    }
}

void StoreFollower::list()
{
    const auto listing = store_.list(ObjectKind{}, listTimeout);
    if (!listing) {
        logEvent(LogLevel::Warning, "store-unavailable", {{"call", "list"}, {"fault", listing.error().description}});
        resume_.onFailure(steadyNow());
        return;
    }
    const auto judged = resume_.onListing(*listing, fleet_.digest().complete, steadyNow());
    fleet_.onListing(*listing);
    if (judged == StoreAnswer::Current) {
        const std::lock_guard lock(mutex_);
        lastCurrent_ = steadyNow();
    }
}

void StoreFollower::watch(const WatchAfter &step)
{
    const auto changes = store_.watch(step.after, step.wait);
    if (!changes) {
        logEvent(LogLevel::Warning, "store-unavailable", {{"call", "watch"}, {"fault", changes.error().description}});
        resume_.onFailure(steadyNow());
        return;
    }
    const auto judged = resume_.onChanges(*changes, fleet_.digest().complete, steadyNow());
    fleet_.onChanges(*changes);
    if (judged == StoreAnswer::Current) {
        const std::lock_guard lock(mutex_);
        lastCurrent_ = steadyNow();
    }
}

void StoreFollower::pollInstances()
{
    bool running = true;
    while (running) {
        const auto instances = store_.instances(instancesTimeout);
        if (instances) {
            onInstances_(*instances);
        }
        const auto proxies = static_cast<std::int64_t>(fleet_.view().instances->instances().size());
        running = sleepUntil(steadyNow() + std::max(shortestPoll, pollForEachProxy * proxies));
    }
}

} // namespace cardamomstep
