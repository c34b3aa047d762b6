// Follows all objects of one kind in the store: lists, watches, and lists again where the history is gone.
#pragma once

#include "evloop/clock.h"
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

/// What a follower reports.
struct FollowerHandlers {
    std::function<void(const StoreListing &listing)> listed;
    std::function<void(const StoreChanges &changes)> changed;
    /// The store did not answer, or answered from an old state.
    std::function<void(const Error &error)> failed;
};

/// Follows one kind; \a Store offers list(), watch() and abandon().
template<typename Store>
class Follower : public std::enable_shared_from_this<Follower<Store>>
{
public:
    /// After news, the next call waits for \a settle, so that changes in quick succession cost few calls.
    Follower(boost::asio::io_context &loop,
             Store store,
             ObjectKind kind,
             WatchResumeOptions options,
             Milliseconds settle,
             std::uint64_t seed,
             FollowerHandlers handlers)
        : timer_(loop)
        , store_(std::move(store))
        , kind_(std::move(kind))
        , resume_(options, seed)
        , settle_(settle)
        , handlers_(std::move(handlers))
        , wait_(options.wait)
    {
    }

    /// Makes the next call; calls follow each other until stop().
    void step()
    {
        if (stopped_) {
            return;
        }
        const auto now = evloop::bootTimeNow();
        const auto next = resume_.next(complete_, now);
        const auto self = this->shared_from_this();
        if (std::holds_alternative<ListAll>(next)) {
            store_.list(kind_, listTimeout, [self](const Result<StoreListing> &listing) { self->onListing(listing); });
        } else if (const auto *watch = std::get_if<WatchAfter>(&next)) {
            watching_ = true;
            store_.watch(kind_, watch->after, watch->wait, [self](const Result<StoreChanges> &changes) { self->onChanges(changes); });
        } else {
            stepAfter(std::get<PauseUntil>(next).time - now);
        }
    }

    /// Revision of the newest change that was seen.
    [[nodiscard]] Revision newest() const noexcept
    {
        return newest_;
    }

    /// Sets the longest wait of watches; a watch under way that would wait longer is made anew.
    void setWait(Milliseconds wait)
    {
        const bool shorter = wait < wait_;
        wait_ = wait;
        resume_.setWait(wait);
        if (shorter) {
            watchAnew();
        }
    }

    /// Takes in that another process knows a change at \a newest; true when the watch was made anew because it missed that.
    bool heardOf(Revision newest, TimePoint now)
    {
        return missed_.told(newest, complete_, now) && watchAnew();
    }

    void stop()
    {
        stopped_ = true;
        timer_.cancel();
    }

private:
    static constexpr Milliseconds listTimeout{1000};
    /// A change that another process knows of arrives here within this time, or the watch is silent.
    static constexpr Milliseconds newsGrace{500};

    bool watchAnew()
    {
        if (!watching_) {
            return false;
        }
        replaced_ = true;
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
            fail(listing.error(), now);
            return;
        }
        // A listing starts over: nothing that was known before bounds its revision but what was taken over.
        if (resume_.onListing(*listing, complete_, now) == StoreAnswer::Current) {
            complete_ = listing->revision;
            note(listing->objects);
            handlers_.listed(*listing);
        }
        step();
    }

    void onChanges(const Result<StoreChanges> &changes)
    {
        const auto now = evloop::bootTimeNow();
        watching_ = false;
        if (std::exchange(replaced_, false) && !changes) {
            step();
            return;
        }
        if (!changes) {
            fail(changes.error(), now);
            return;
        }
        if (resume_.onChanges(*changes, complete_, now) == StoreAnswer::Current) {
            complete_ = changes->revision;
            note(changes->changes);
            handlers_.changed(*changes);
        }
        if (changes->changes.empty()) {
            step();
        } else {
            stepAfter(settle_);
        }
    }

    void note(const std::vector<StoredObject> &objects)
    {
        for (const auto &object : objects) {
            newest_ = std::max(newest_, object.version);
        }
    }

    void fail(const Error &error, TimePoint now)
    {
        resume_.onFailure(now);
        handlers_.failed(error);
        step();
    }

    boost::asio::steady_timer timer_;
    Store store_;
    ObjectKind kind_;
    WatchResume resume_;
    Milliseconds settle_;
    FollowerHandlers handlers_;
    /// All changes up to here are known.
    Revision complete_;
    Revision newest_;
    MissedNews missed_{newsGrace};
    Milliseconds wait_;
    /// A watch is under way.
    bool watching_ = false;
    /// It was given up to be made anew.
    bool replaced_ = false;
    bool stopped_ = false;
};

} // namespace cardamomstep::gateway
