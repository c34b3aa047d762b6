// Passes the catalog on with the renewals of primary tables, and switches the watches of the store on and off.
#pragma once

#include "fleet/messages.h"
#include "logging/log.h"
#include "store/catalogrevisions.h"
#include "store/catalogsource.h"
#include "store/relaybudget.h"
#include "store/storeepochs.h"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// Callbacks of a CatalogRelay.
struct CatalogRelayHandlers {
    /// The store is watched from now on, after a time in which outages of it were not noticed here.
    std::function<void()> storeWatched;
    std::function<void(LogLevel level, std::string_view event, const std::vector<LogField> &fields)> log;
};

/// Performs the decisions of a CatalogSource for the watchers of all parts of the catalog; \a Watcher is a StoreWatcher, or its model in
/// virtual time.
template<typename Watcher>
class CatalogRelay
{
public:
    CatalogRelay(std::shared_ptr<StoreEpochs> epochs, CatalogRelayHandlers handlers)
        : epochs_(std::move(epochs))
        , handlers_(std::move(handlers))
    {
    }

    /// Sets the watcher of \a part, which must be paused.
    void attach(CatalogPart part, std::shared_ptr<Watcher> watcher) noexcept
    {
        watchers_[indexOf(part)] = std::move(watcher);
    }

    /// Lists the registered proxies, among which the source of the renewals is found. tick() does nothing before they were listed.
    void start()
    {
        watcher(CatalogPart::Proxies).listOnce();
    }

    /// Watches the store, or stops to, as CatalogSource decides; \a watcher and \a intermediate are this proxy's roles.
    void tick(bool isWatcher, bool isIntermediate, TimePoint now)
    {
        if (!watcher(CatalogPart::Proxies).history().listed()) {
            return;
        }
        if (!std::exchange(started_, true)) {
            source_.start(now);
        }
        source_.setRole(isWatcher, isIntermediate);
        for (std::size_t part = 0; part < catalogParts; ++part) {
            source_.onComplete(static_cast<CatalogPart>(part), watchers_[part]->history().complete());
        }
        const auto reason = source_.decide(now);
        const bool watch = reason != CatalogWatchReason::None;
        if (watch != std::exchange(watching_, watch)) {
            switchSource(reason);
        }
        for (std::size_t part = 0; part < catalogParts && !watch; ++part) {
            if (source_.listingDue(static_cast<CatalogPart>(part))) {
                watchers_[part]->listOnce();
            }
        }
    }

    /// The newest revisions that this process knows or that others reported.
    [[nodiscard]] CatalogRevisions revisions() const
    {
        CatalogRevisions revisions{watcher(CatalogPart::Configuration).history().newest(),
                                   watcher(CatalogPart::Members).history().newest(),
                                   watcher(CatalogPart::Proxies).history().newest()};
        revisions.advanceTo(peerRevisions_);
        return revisions;
    }

    /// When another process last reported its revisions.
    [[nodiscard]] TimePoint lastContactAt() const noexcept
    {
        return lastContactAt_;
    }

    /// Returns when the store last confirmed the catalog of this process, to it or to the watcher from which it comes.
    [[nodiscard]] TimePoint confirmedAt(TimePoint now) const
    {
        auto confirmed = now;
        for (const auto &watcher : watchers_) {
            confirmed = std::min(confirmed, watching_ ? watcher->confirmedAt(now) : TimePoint{});
        }
        return std::max(confirmed, started_ ? source_.confirmedAt() : TimePoint{});
    }

    /// Records the revisions that another process knows; restarts a watch that missed them.
    void onPeerRevisions(const CatalogRevisions &revisions, TimePoint now)
    {
        peerRevisions_.advanceTo(revisions);
        lastContactAt_ = now;
        onReported(CatalogPart::Configuration, "configuration", peerRevisions_.configuration, now);
        onReported(CatalogPart::Members, "members", peerRevisions_.members, now);
        onReported(CatalogPart::Proxies, "proxies", peerRevisions_.proxies, now);
    }

    /// Adds to a renewal what this process has, unless the store brings it the catalog.
    void fillRequest(fleet::RenewRequest &request, TimePoint now) const
    {
        if (watching_ && confirmedByStore(now)) {
            return;
        }
        request.held = CatalogRevisions{watcher(CatalogPart::Configuration).history().complete(),
                                        watcher(CatalogPart::Members).history().complete(),
                                        watcher(CatalogPart::Proxies).history().complete()};
    }

    /// Adds to the reply to \a request the objects that its sender lacks.
    void fillReply(const fleet::RenewRequest &request, fleet::RenewReply &reply, TimePoint now)
    {
        const auto confirmed = confirmedAt(now);
        if (confirmed != TimePoint{}) {
            reply.catalogAge = std::chrono::ceil<Milliseconds>(now - confirmed);
        }
        if (!request.held) {
            return;
        }
        // The most urgent part first: what it takes of the budget is not left for the others.
        addPart(CatalogPart::Members, request.held->members, reply, now);
        addPart(CatalogPart::Proxies, request.held->proxies, reply, now);
        addPart(CatalogPart::Configuration, request.held->configuration, reply, now);
    }

    /// Applies what the reply to a renewal brought that was requested at \a requestedAt.
    void onRenewReply(const fleet::RenewReply &reply, TimePoint requestedAt, TimePoint now)
    {
        for (const auto &part : reply.catalog) {
            adoptEpoch(part.objects.revision.epoch);
            const bool current = !epochs_->known() || part.objects.revision.epoch == epochs_->newest();
            if (current && part.content == fleet::RelayedContent::Sent) {
                watcher(part.part).applyRelayed(part.objects, requestedAt - part.age);
                source_.onComplete(part.part, watcher(part.part).history().complete());
            }
        }
        onPeerRevisions(reply.catalogRevisions, now);
        for (const auto &part : reply.catalog) {
            if (part.content == fleet::RelayedContent::Deferred) {
                source_.onDeferred(part.part, now);
            } else if (part.content == fleet::RelayedContent::Withheld && watcher(part.part).history().complete() < part.objects.revision) {
                source_.onWithheld(part.part, part.objects.revision, now);
            }
        }
        if (reply.granted && reply.catalogAge) {
            source_.onRenewed(requestedAt - *reply.catalogAge, now);
        }
    }

private:
    [[nodiscard]] Watcher &watcher(CatalogPart part) const
    {
        return *watchers_[indexOf(part)];
    }

    [[nodiscard]] bool confirmedByStore(TimePoint now) const
    {
        return std::all_of(watchers_.begin(), watchers_.end(), [now](const auto &watcher) { return watcher->confirmedAt(now) == now; });
    }

    void switchSource(CatalogWatchReason reason)
    {
        if (watching_) {
            handlers_.storeWatched();
        }
        for (const auto &watcher : watchers_) {
            if (watching_) {
                watcher->resume();
            } else {
                watcher->pause();
            }
        }
        handlers_.log(LogLevel::Info, "catalog_source", {{"source", watching_ ? "store" : "renewals"}, {"why", toText(reason)}});
    }

    void onReported(CatalogPart part, std::string_view name, Revision newest, TimePoint now)
    {
        auto &reported = watcher(part);
        source_.onReported(part, newest, reported.history().complete(), now);
        const auto received = reported.progress().bytes;
        if (watching_ && reported.onPeerRevision(newest, now)) {
            handlers_.log(LogLevel::Warning,
                          "watch_missed_news",
                          {{"dependency", name},
                           {"newest", static_cast<std::int64_t>(newest.value)},
                           {"received_bytes", static_cast<std::int64_t>(received)}});
        }
    }

    /// Makes a later epoch of the store known here, unless the store never replied to this process.
    void adoptEpoch(StoreEpoch epoch)
    {
        if (epochs_->known() && epochs_->newest() < epoch) {
            (void)epochs_->observe(epoch);
        }
    }

    void addPart(CatalogPart part, Revision held, fleet::RenewReply &reply, TimePoint now)
    {
        const auto &source = watcher(part);
        const auto &history = source.history();
        if (!history.listed() || history.complete().epoch < held.epoch || history.complete().epoch < epochs_->newest()) {
            return;
        }
        // The age is needed for members only, whose draining may date from then.
        if (history.complete() <= held && part != CatalogPart::Members) {
            return;
        }
        fleet::RelayedPart relayed;
        relayed.part = part;
        relayed.age = std::chrono::ceil<Milliseconds>(now - source.completeAsOf(now));
        if (history.complete() <= held) {
            relayed.objects = {held, history.complete(), false, {}};
        } else {
            relayed.objects = history.changesAfter(held);
            const auto size = transferSize(relayed.objects.objects);
            const auto decision = budget_.take(size, now);
            if (decision != RelayDecision::Send) {
                relayed.content = decision == RelayDecision::Defer ? fleet::RelayedContent::Deferred : fleet::RelayedContent::Withheld;
                relayed.objects.whole = false;
                relayed.objects.objects.clear();
            }
        }
        reply.catalog.push_back(std::move(relayed));
    }

    std::shared_ptr<StoreEpochs> epochs_;
    CatalogRelayHandlers handlers_;
    std::array<std::shared_ptr<Watcher>, catalogParts> watchers_;
    CatalogSource source_;
    RelayBudget budget_;
    /// The newest revisions that other processes reported, and the time of their last report.
    CatalogRevisions peerRevisions_;
    TimePoint lastContactAt_;
    bool started_ = false;
    bool watching_ = false;
};

} // namespace cardamomstep::gateway
