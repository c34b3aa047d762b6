// Keeps this process' view of primaries current, and that of the proxies that ask it.
#pragma once

#include "evloop/clock.h"
#include "fleet/messages.h"
#include "gateway/leadershipcontext.h"
#include "gateway/leasemanager.h"
#include "gateway/primaryobservation.h"
#include "gateway/proxyregistry.h"
#include "leadership/recordjson.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// What a view keeper reports.
struct ViewHandlers {
    /// A proxy told what it sees of primaries.
    std::function<void(const fleet::RenewRequest &request, TimePoint now)> sighted;
};

/// Renews the view from the holder, a proxy that asks the holder, or the store; grants views to others.
template<typename Store>
class ViewKeeper
{
public:
    ViewKeeper(LeaderContext<Store> &context, LeaseKeeper<Store> &lease, ProxyRegistry<Store> &registry, ViewHandlers handlers)
        : context_(context)
        , lease_(lease)
        , registry_(registry)
        , handlers_(std::move(handlers))
    {
    }

    /// Asks for a view where it is time to; the store is asked only once it has listed the fleet.
    void renew(TimePoint now, bool everListed)
    {
        if (!renewing_ && now - renewedAt_ >= context_.limits.renewInterval) {
            askProxy(now);
        }
        const auto patience =
            context_.tree.readsStore(context_.settings.instance) ? context_.limits.readerRenewAfter : context_.limits.storeRenewAfter;
        const bool old = now - context_.views.asOf() >= patience;
        if (old && everListed && registry_.registered() && !storeRenewing_ && now - storeRenewedAt_ >= context_.limits.storeRenewInterval) {
            askStore(now);
        }
    }

    /// Answers a proxy that asks here for its view.
    fleet::RenewReply grant(const fleet::RenewRequest &request)
    {
        const auto now = evloop::bootTimeNow();
        lease_.yieldIfCutOff(request, now);
        fleet::RenewReply reply;
        reply.lease = context_.lease.word(now);
        reply.yieldedFence = lease_.yieldedFence();
        clients_[request.instance] = now;
        for (const auto &sighting : request.sightings) {
            auto &told = acknowledged_[sighting.group];
            told = std::max(told, sighting.acknowledged);
        }
        context_.host.marksHeard(request.marks);
        reply.marks = context_.host.marks();
        handlers_.sighted(request, now);
        if (!context_.lease.holds(now)) {
            // A view is passed on with its age, so it ends for the asker when it ends here.
            // Moves wait for the views of registered proxies only.
            reply.granted = now - context_.views.asOf() < leadership::viewLease * 3 / 4 && registry_.find(request.instance) != nullptr;
            reply.age = std::chrono::ceil<Milliseconds>(now - context_.views.asOf());
            reply.records = context_.views.current();
            return reply;
        }
        // The view that is granted must end before another proxy can take the lease.
        reply.granted =
            context_.lease.holds(now + leadership::viewLease) && lease_.recordsCurrent() && registry_.find(request.instance) != nullptr;
        reply.holderSinceStore = wholeMilliseconds(now - context_.storeAnsweredAt);
        registry_.heard(request.instance, now);
        for (const auto &client : request.clients) {
            registry_.heard(client, now);
        }
        reply.records = context_.views.all();
        return reply;
    }

    /// Takes in a record that the holder announces; \a answer is called once the announcement is heeded.
    void takeAnnouncement(const fleet::Announcement &announcement, const std::function<void(fleet::HoldReply)> &answer)
    {
        context_.views.accept(announcement.record);
        context_.viewsChanged(evloop::bootTimeNow());
        holdThenAnswer(announcement.record, evloop::bootTimeNow() + announcement.drain, answer);
    }

    /// Answers once nothing with lasting effects is in flight at the group's primary, at the latest at \a until.
    void holdThenAnswer(const leadership::GroupRecord &record, TimePoint until, const std::function<void(fleet::HoldReply)> &answer)
    {
        constexpr Milliseconds step{10};
        const auto now = evloop::bootTimeNow();
        if (record.moving && now < until && context_.host.engine.lastingInFlight(record.group) > 0) {
            const auto timer = std::make_shared<boost::asio::steady_timer>(context_.loop, step);
            timer->async_wait(
                [this, record, until, answer, timer](const boost::system::error_code &) { holdThenAnswer(record, until, answer); });
            return;
        }
        if (record.moving) {
            context_.host.engine.seal(record.group, now);
            context_.host.perform();
        }
        answer(fleet::HoldReply{context_.host.engine.acknowledged(record.group), wholeMilliseconds(now - context_.startedAt)});
    }

    /// Highest position in \a group that this process acknowledged, or that others told here that they did.
    [[nodiscard]] Mark acknowledged(const GroupName &group) const
    {
        const auto told = acknowledged_.find(group);
        const auto own = context_.host.engine.acknowledged(group);
        return told == acknowledged_.end() ? own : std::max(own, told->second);
    }

    /// Forgets a proxy that is not registered any more.
    void forget(const InstanceName &proxy)
    {
        clients_.erase(proxy);
    }

private:
    /// Calls to a proxy that fail in a row before its connection is made anew.
    static constexpr unsigned failuresToForget = 2;
    /// A proxy that did not ask here for this long is not spoken for.
    static constexpr Milliseconds clientLife{3000};

    /// Asks the holder, or a proxy that asks it, for its view.
    void askProxy(TimePoint now)
    {
        const auto *source = registry_.find(context_.tree.source(context_.settings.instance, context_.lease.holder(), renewAttempt_));
        if (source == nullptr) {
            ++renewAttempt_;
            return;
        }
        renewing_ = true;
        renewedAt_ = now;
        const auto address = source->address;
        context_.client.renew(address, request(now), context_.limits.renewTimeout, [this, now, address](Result<fleet::RenewReply> reply) {
            boost::asio::post(context_.loop, [this, now, address, reply = std::move(reply)] {
                renewing_ = false;
                takeRenewal(now, address, reply);
            });
        });
    }

    fleet::RenewRequest request(TimePoint now)
    {
        fleet::RenewRequest asked;
        asked.instance = context_.settings.instance;
        if (context_.storeAnsweredAt != TimePoint{}) {
            asked.sinceStore = wholeMilliseconds(now - context_.storeAnsweredAt);
        }
        asked.marks = context_.host.marks();
        for (const auto &[instance, heardAt] : clients_) {
            if (now - heardAt <= clientLife) {
                asked.clients.push_back(instance);
            }
        }
        for (const auto &record : context_.views.all()) {
            asked.sightings.push_back(sightingOf(context_.host.engine, record, now));
            asked.sightings.back().acknowledged = acknowledged(record.group);
        }
        return asked;
    }

    void takeRenewal(TimePoint askedAt, const Address &address, const Result<fleet::RenewReply> &reply)
    {
        const auto now = evloop::bootTimeNow();
        if (!reply) {
            ++renewAttempt_;
            if (++renewFailures_[address] >= failuresToForget) {
                context_.client.forget(address);
                renewFailures_.erase(address);
            }
            return;
        }
        renewFailures_.erase(address);
        context_.host.marksHeard(reply->marks);
        lease_.heard(*reply, now);
        if (!reply->granted) {
            ++renewAttempt_;
            return;
        }
        renewAttempt_ = 0;
        context_.views.renew(reply->records, askedAt - reply->age);
        context_.viewsChanged(now);
        // A holder that the store does not answer yields to one that it does; so this process finds out whether it does.
        if (reply->holderSinceStore && *reply->holderSinceStore >= context_.limits.storeSilence && !storeRenewing_) {
            askStore(now);
        }
    }

    void askStore(TimePoint now)
    {
        storeRenewing_ = true;
        storeRenewedAt_ = now;
        context_.renewStore.list(leadership::fleetKind(), context_.limits.storeTimeout, [this, now](const Result<StoreListing> &listing) {
            storeRenewing_ = false;
            if (!listing) {
                return;
            }
            takeStoredView(*listing, now);
        });
    }

    /// Takes the view that the store held at \a askedAt; only a registered proxy is waited for by moves, so only it may use one.
    void takeStoredView(const StoreListing &listing, TimePoint askedAt)
    {
        bool registered = false;
        std::vector<leadership::GroupRecord> records;
        for (const auto &object : listing.objects) {
            const auto decoded = leadership::decodeFleetObject(object);
            if (const auto *record = std::get_if<leadership::GroupRecord>(&decoded)) {
                records.push_back(*record);
            } else if (const auto *proxy = std::get_if<leadership::ProxyEntry>(&decoded)) {
                registered = registered || proxy->instance == context_.settings.instance;
            }
        }
        if (registered) {
            context_.views.renew(records, askedAt);
        } else {
            registry_.missed();
        }
        context_.takeListing(listing, evloop::bootTimeNow());
    }

    LeaderContext<Store> &context_;
    LeaseKeeper<Store> &lease_;
    ProxyRegistry<Store> &registry_;
    ViewHandlers handlers_;
    bool renewing_ = false;
    TimePoint renewedAt_;
    /// Renewals in a row that failed, by proxy.
    std::map<Address, unsigned> renewFailures_;
    /// Renewals in a row that brought no view.
    std::size_t renewAttempt_ = 0;
    /// Proxies that renew their views here, and when they last did.
    std::map<InstanceName, TimePoint> clients_;
    /// What others told here that they acknowledged to callers.
    std::map<GroupName, Mark> acknowledged_;
    bool storeRenewing_ = false;
    TimePoint storeRenewedAt_;
};

} // namespace cardamomstep::gateway
