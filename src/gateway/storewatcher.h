// Watches all objects of one kind in the store: lists, watches, and lists again when the history was compacted.
#pragma once

#include "evloop/clock.h"
#include "evloop/httpclient.h"
#include "store/missedchangedetector.h"
#include "store/objecthistory.h"
#include "store/watchresume.h"

#include <utility>

#include <boost/asio.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <memory>
#include <variant>
#include <vector>

namespace cardamomstep::gateway {

/// Callbacks of a StoreWatcher.
struct StoreWatcherHandlers {
    std::function<void(const StoreListing &listing)> listed;
    std::function<void(const StoreChanges &changes)> changed;
    /// A call failed; not called when the store replied from an outdated state, after which the call is repeated with a delay.
    std::function<void(const Error &error)> failed;
    /// Objects arrived from another process.
    std::function<void(const ObjectUpdate &update)> relayed;
    /// True for the objects that may be passed to other processes; without it, all may.
    std::function<bool(const StoredObject &object)> mayBeRelayed;
};

/// Watches the objects of one kind; \a Store provides list(), watch(), progress() and abandon().
template<typename Store>
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher<Store>>
{
public:
    /// After changes, the next call waits for \a settleDelay, so that changes in quick succession need few calls.
    StoreWatcher(boost::asio::io_context &loop,
                 Store store,
                 ObjectKind kind,
                 WatchResumeOptions options,
                 Milliseconds settleDelay,
                 std::uint64_t seed,
                 StoreWatcherHandlers handlers)
        : timer_(loop)
        , store_(std::move(store))
        , kind_(std::move(kind))
        , resume_(options, seed)
        , settleDelay_(settleDelay)
        , handlers_(std::move(handlers))
        , wait_(options.watchTimeout)
    {
    }

    /// Makes the next call, or schedules it; calls follow each other until stop().
    void step()
    {
        pending_ = Pending::None;
        if (stopped_ || (paused_ && !listOnce_)) {
            return;
        }
        const auto now = evloop::bootTimeNow();
        const auto next = resume_.next(history_.complete(), now);
        pending_ = Pending::Call;
        const auto self = this->shared_from_this();
        if (std::holds_alternative<ListAll>(next)) {
            store_.list(kind_, listTimeout, [self](const Result<StoreListing> &listing) { self->onListing(listing); });
        } else if (const auto *watch = std::get_if<WatchAfter>(&next)) {
            watching_ = true;
            // A store that replies again after a failure is to confirm the objects soon, not after a long wait without changes.
            const auto wait = confirmed_ ? watch->wait : std::min(watch->wait, confirmingWait);
            store_.watch(kind_, watch->after, wait, [self](const Result<StoreChanges> &changes) { self->onChanges(changes); });
        } else {
            stepAfter(std::get<DelayUntil>(next).time - now);
        }
    }

    /// Makes no calls until resume(), except for listOnce().
    void pause()
    {
        paused_ = true;
        confirmed_ = false;
        interrupted_ = true;
        restartWatch();
    }

    /// Lists, and watches from then on.
    void resume()
    {
        if (std::exchange(paused_, false)) {
            listNow();
        }
    }

    /// Lists once while paused; repeats a listing that failed.
    void listOnce()
    {
        if (paused_ && !std::exchange(listOnce_, true)) {
            listNow();
        }
    }

    /// Applies objects of another process, which knew all changes made until \a completeAt.
    void applyRelayed(const RelayedObjects &relayed, TimePoint completeAt)
    {
        const auto before = history_.complete();
        const bool first = !history_.listed();
        const auto update = history_.apply(relayed);
        const auto *changes = update ? std::get_if<StoreChanges>(&*update) : nullptr;
        const bool sameListing = changes == nullptr && !first && relayed.revision == before;
        if (update && !sameListing && (changes == nullptr || !changes->changes.empty())) {
            handlers_.relayed(*update);
        }
        if (relayed.revision.epoch == history_.complete().epoch && relayed.revision <= history_.complete()) {
            completeAsOf_ = std::max(completeAsOf_, completeAt);
        }
    }

    /// The objects that may be passed to other processes.
    [[nodiscard]] const ObjectHistory &history() const noexcept
    {
        return history_;
    }

    /// Returns when the store last confirmed that the objects are current: \a now while no call fails.
    [[nodiscard]] TimePoint confirmedAt(TimePoint now) const noexcept
    {
        return confirmed_ ? now : repliedAt_;
    }

    /// Returns the earliest time at which the changes of a reply that arrived at \a now may have been made: \a now itself unless calls
    /// failed or were abandoned since the reply before.
    [[nodiscard]] TimePoint completeAsOf(TimePoint now) const noexcept
    {
        return interrupted_ ? completeAsOf_ : now;
    }

    /// Returns what has arrived of the reply to the call in progress.
    [[nodiscard]] evloop::ResponseProgress progress() const
    {
        return store_.progress();
    }

    /// Sets the longest wait of watches; a watch in progress that would wait longer is restarted.
    void setWait(Milliseconds wait)
    {
        const bool shorter = wait < wait_;
        wait_ = wait;
        resume_.setWatchTimeout(wait);
        if (shorter) {
            restartWatch();
        }
    }

    /// Records that another process knows a change at \a newest; true when the watch was restarted because it missed that change.
    bool onPeerRevision(Revision newest, TimePoint now)
    {
        if (!missedChanges_.onPeerRevision(newest, history_.complete(), progress().lastBytesAt, now) || !restartWatch()) {
            return false;
        }
        // A store that replies delivers the change at once; until then, peers may know more than the store tells this process.
        confirmed_ = false;
        return true;
    }

    /// Lists again after \a delay, because the store changed its epoch: a watch would miss what changed in between.
    void listAgain(Milliseconds delay)
    {
        resume_.requireListing(evloop::bootTimeNow() + delay);
        // Posted, because a reply to this very watch may have shown the new epoch.
        boost::asio::post(timer_.get_executor(), [self = this->shared_from_this()] { self->restartWatch(); });
    }

    void stop()
    {
        stopped_ = true;
        timer_.cancel();
    }

private:
    static constexpr Milliseconds listTimeout{1000};
    /// Longest wait of the watch after a failure.
    static constexpr Milliseconds confirmingWait{500};
    /// A silent watch that does not deliver a change within this time after another process reported it is restarted.
    static constexpr Milliseconds changeGrace{500};

    /// What the next step follows.
    enum class Pending : std::uint8_t {
        None,
        Call,
        Timer,
    };

    void listNow()
    {
        resume_.requireListing(evloop::bootTimeNow());
        if (pending_ == Pending::Timer) {
            timer_.cancel();
            step();
        } else if (pending_ == Pending::None) {
            step();
        }
    }

    /// Returns those of \a objects that may be passed to other processes.
    [[nodiscard]] std::vector<StoredObject> relayable(const std::vector<StoredObject> &objects) const
    {
        std::vector<StoredObject> kept;
        std::copy_if(objects.begin(), objects.end(), std::back_inserter(kept), [this](const StoredObject &object) {
            return !handlers_.mayBeRelayed || handlers_.mayBeRelayed(object);
        });
        return kept;
    }

    bool restartWatch()
    {
        if (!watching_) {
            return false;
        }
        watchAbandoned_ = true;
        interrupted_ = true;
        store_.abandon();
        return true;
    }

    void stepAfter(Microseconds wait)
    {
        pending_ = Pending::Timer;
        timer_.expires_after(wait);
        timer_.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->step();
            }
        });
    }

    void onListing(const Result<StoreListing> &listing)
    {
        const auto now = evloop::bootTimeNow();
        if (!listing) {
            onFailure(listing.error(), now);
            return;
        }
        // A listing starts over: it may have any revision that does not precede the changes applied so far.
        if (resume_.onListing(*listing, history_.complete(), now) == StoreReplyKind::Current) {
            history_.apply(StoreListing{listing->revision, relayable(listing->objects)});
            listOnce_ = false;
            handlers_.listed(*listing);
            onComplete(now);
        }
        step();
    }

    void onChanges(const Result<StoreChanges> &changes)
    {
        const auto now = evloop::bootTimeNow();
        watching_ = false;
        if (std::exchange(watchAbandoned_, false) && !changes) {
            step();
            return;
        }
        if (!changes) {
            onFailure(changes.error(), now);
            return;
        }
        if (resume_.onChanges(*changes, history_.complete(), now) == StoreReplyKind::Current) {
            history_.apply(StoreChanges{changes->after, changes->revision, relayable(changes->changes), false});
            handlers_.changed(*changes);
            onComplete(now);
        } else {
            interrupted_ = true;
        }
        if (changes->changes.empty()) {
            step();
        } else {
            stepAfter(settleDelay_);
        }
    }

    void onComplete(TimePoint now)
    {
        completeAsOf_ = now;
        repliedAt_ = now;
        // The reply to a listing while paused says nothing about later changes.
        interrupted_ = paused_;
        confirmed_ = !paused_;
    }

    void onFailure(const Error &error, TimePoint now)
    {
        interrupted_ = true;
        confirmed_ = false;
        resume_.onFailure(now);
        handlers_.failed(error);
        step();
    }

    boost::asio::steady_timer timer_;
    Store store_;
    ObjectKind kind_;
    WatchResume resume_;
    Milliseconds settleDelay_;
    StoreWatcherHandlers handlers_;
    /// The objects, and the revision up to which all changes were received.
    ObjectHistory history_;
    /// When the last reply arrived with which all changes made until then were known.
    TimePoint completeAsOf_;
    /// A call was abandoned, failed or did not show all changes since then, or none was made yet.
    bool interrupted_ = true;
    MissedChangeDetector missedChanges_{changeGrace};
    Milliseconds wait_;
    /// A watch is in progress.
    bool watching_ = false;
    /// The watch in progress was abandoned, to be restarted.
    bool watchAbandoned_ = false;
    bool stopped_ = false;
    /// No watch is made.
    bool paused_ = false;
    /// A listing is due or in progress although paused.
    bool listOnce_ = false;
    Pending pending_ = Pending::None;
    /// The last call succeeded, and the watch goes on.
    bool confirmed_ = false;
    TimePoint repliedAt_;
};

} // namespace cardamomstep::gateway
