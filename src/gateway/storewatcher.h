// Watches all objects of one kind in the store: lists, watches, and lists again when the history was compacted.
#pragma once

#include "evloop/clock.h"
#include "evloop/httpclient.h"
#include "store/missedchangedetector.h"
#include "store/watchresume.h"

#include <utility>

#include <boost/asio.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
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
        if (stopped_) {
            return;
        }
        const auto now = evloop::bootTimeNow();
        const auto next = resume_.next(completeUpTo_, now);
        const auto self = this->shared_from_this();
        if (std::holds_alternative<ListAll>(next)) {
            store_.list(kind_, listTimeout, [self](const Result<StoreListing> &listing) { self->onListing(listing); });
        } else if (const auto *watch = std::get_if<WatchAfter>(&next)) {
            watching_ = true;
            store_.watch(kind_, watch->after, watch->wait, [self](const Result<StoreChanges> &changes) { self->onChanges(changes); });
        } else {
            stepAfter(std::get<DelayUntil>(next).time - now);
        }
    }

    /// Revision of the newest change received.
    [[nodiscard]] Revision newest() const noexcept
    {
        return newest_;
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
        return missedChanges_.onPeerRevision(newest, completeUpTo_, progress().lastBytesAt, now) && restartWatch();
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
    /// A silent watch that does not deliver a change within this time after another process reported it is restarted.
    static constexpr Milliseconds changeGrace{500};

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
        if (resume_.onListing(*listing, completeUpTo_, now) == StoreReplyKind::Current) {
            completeUpTo_ = listing->revision;
            updateNewest(listing->objects);
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
        if (resume_.onChanges(*changes, completeUpTo_, now) == StoreReplyKind::Current) {
            completeUpTo_ = changes->revision;
            updateNewest(changes->changes);
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

    void updateNewest(const std::vector<StoredObject> &objects)
    {
        for (const auto &object : objects) {
            newest_ = std::max(newest_, object.version);
        }
    }

    void onComplete(TimePoint now)
    {
        completeAsOf_ = now;
        interrupted_ = false;
    }

    void onFailure(const Error &error, TimePoint now)
    {
        interrupted_ = true;
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
    /// All changes up to this revision were received.
    Revision completeUpTo_;
    Revision newest_;
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
};

} // namespace cardamomstep::gateway
