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
struct PrimaryTableSyncHandlers {
    /// A proxy told what it sees of primaries.
    std::function<void(const fleet::RenewRequest &request, TimePoint now)> onObservations;
};

/// Renews the view from the holder, a proxy that asks the holder, or the store; grants views to others.
template<typename Store>
class PrimaryTableSync
{
public:
    PrimaryTableSync(LeadershipContext<Store> &context,
                     LeaseManager<Store> &lease,
                     ProxyRegistry<Store> &registry,
                     PrimaryTableSyncHandlers handlers)
        : context_(context)
        , lease_(lease)
        , registry_(registry)
        , handlers_(std::move(handlers))
    {
    }

    /// Asks for a view where it is time to; the store is asked only once it has listed the fleet.
    void renew(TimePoint now, bool fleetListed)
    {
        if (!renewPending_ && now - renewedAt_ >= context_.limits.renewInterval) {
            queryProxy(now);
        }
        const auto renewAfter = context_.renewalTree.readsStore(context_.settings.instance) ? context_.limits.readerRenewAfter
                                                                                            : context_.limits.storeRenewAfter;
        const bool old = now - context_.primaryTable.asOf() >= renewAfter;
        if (old && fleetListed && registry_.registered() && !storeRenewing_
            && now - storeRenewedAt_ >= context_.limits.storeRenewInterval) {
            queryStore(now);
        }
    }

    /// Answers a proxy that asks here for its view.
    fleet::RenewReply grant(const fleet::RenewRequest &request)
    {
        const auto now = evloop::bootTimeNow();
        lease_.relinquishIfIsolated(request, now);
        fleet::RenewReply reply;
        reply.lease = context_.lease.report(now);
        reply.relinquishedToken = lease_.relinquishedToken();
        downstreamProxies_[request.instance] = now;
        for (const auto &observation : request.observations) {
            auto &reported = acknowledged_[observation.group];
            reported = std::max(reported, observation.acknowledged);
        }
        context_.host.onPeerRevisions(request.catalogRevisions);
        reply.catalogRevisions = context_.host.catalogRevisions();
        handlers_.onObservations(request, now);
        if (!context_.lease.holds(now)) {
            // A view is passed on with its age, so it ends for the asker when it ends here.
            // Moves wait for the views of registered proxies only.
            reply.granted =
                now - context_.primaryTable.asOf() < leadership::primaryTableLease * 3 / 4 && registry_.find(request.instance) != nullptr;
            reply.age = std::chrono::ceil<Milliseconds>(now - context_.primaryTable.asOf());
            reply.records = context_.primaryTable.current();
            return reply;
        }
        // The view that is granted must end before another proxy can take the lease.
        reply.granted = context_.lease.holds(now + leadership::primaryTableLease) && lease_.recordsCurrent()
            && registry_.find(request.instance) != nullptr;
        reply.leaseHolderSinceStoreReply = wholeMilliseconds(now - context_.lastStoreReplyAt);
        registry_.onContact(request.instance, now);
        for (const auto &client : request.downstreamProxies) {
            registry_.onContact(client, now);
        }
        reply.records = context_.primaryTable.all();
        return reply;
    }

    /// Takes in a record that the holder announces; \a answer is called once the announcement is heeded.
    void onAnnouncement(const fleet::Announcement &announcement, const std::function<void(fleet::QuiesceReply)> &sendReply)
    {
        context_.primaryTable.accept(announcement.record);
        context_.primaryTableChanged(evloop::bootTimeNow());
        quiesceThenReply(announcement.record, evloop::bootTimeNow() + announcement.drainTimeout, sendReply);
    }

    /// Answers once nothing with lasting effects is in flight at the group's primary, at the latest at \a until.
    void quiesceThenReply(const leadership::GroupRecord &record, TimePoint until, const std::function<void(fleet::QuiesceReply)> &sendReply)
    {
        constexpr Milliseconds step{10};
        const auto now = evloop::bootTimeNow();
        if (record.changeInProgress && now < until && context_.host.engine.durableInFlight(record.group) > 0) {
            const auto timer = std::make_shared<boost::asio::steady_timer>(context_.loop, step);
            timer->async_wait(
                [this, record, until, sendReply, timer](const boost::system::error_code &) { quiesceThenReply(record, until, sendReply); });
            return;
        }
        if (record.changeInProgress) {
            context_.host.engine.fence(record.group, now);
            context_.host.perform();
        }
        sendReply(fleet::QuiesceReply{context_.host.engine.acknowledged(record.group), wholeMilliseconds(now - context_.startedAt)});
    }

    /// Highest position in \a group that this process acknowledged, or that others told here that they did.
    [[nodiscard]] LogPosition acknowledged(const GroupName &group) const
    {
        const auto reported = acknowledged_.find(group);
        const auto own = context_.host.engine.acknowledged(group);
        return reported == acknowledged_.end() ? own : std::max(own, reported->second);
    }

    /// Forgets a proxy that is not registered any more.
    void forget(const InstanceName &proxy)
    {
        downstreamProxies_.erase(proxy);
    }

private:
    /// Calls to a proxy that fail in a row before its connection is made anew.
    static constexpr unsigned maxRenewFailures = 2;
    /// A proxy that did not ask here for this long is not spoken for.
    static constexpr Milliseconds downstreamTimeout{3000};

    /// Asks the holder, or a proxy that asks it, for its view.
    void queryProxy(TimePoint now)
    {
        const auto *source =
            registry_.find(context_.renewalTree.source(context_.settings.instance, context_.lease.holder(), renewAttempt_));
        if (source == nullptr) {
            ++renewAttempt_;
            return;
        }
        renewPending_ = true;
        renewedAt_ = now;
        const auto address = source->address;
        context_.client.renew(address, request(now), context_.limits.renewTimeout, [this, now, address](Result<fleet::RenewReply> reply) {
            boost::asio::post(context_.loop, [this, now, address, reply = std::move(reply)] {
                renewPending_ = false;
                onRenewReply(now, address, reply);
            });
        });
    }

    fleet::RenewRequest request(TimePoint now)
    {
        fleet::RenewRequest renewRequest;
        renewRequest.instance = context_.settings.instance;
        if (context_.lastStoreReplyAt != TimePoint{}) {
            renewRequest.sinceStoreReply = wholeMilliseconds(now - context_.lastStoreReplyAt);
        }
        renewRequest.catalogRevisions = context_.host.catalogRevisions();
        for (const auto &[instance, lastContactAt] : downstreamProxies_) {
            if (now - lastContactAt <= downstreamTimeout) {
                renewRequest.downstreamProxies.push_back(instance);
            }
        }
        for (const auto &record : context_.primaryTable.all()) {
            renewRequest.observations.push_back(observationOf(context_.host.engine, record, now));
            renewRequest.observations.back().acknowledged = acknowledged(record.group);
        }
        return renewRequest;
    }

    void onRenewReply(TimePoint requestedAt, const Address &address, const Result<fleet::RenewReply> &reply)
    {
        const auto now = evloop::bootTimeNow();
        if (!reply) {
            ++renewAttempt_;
            if (++renewFailures_[address] >= maxRenewFailures) {
                context_.client.forget(address);
                renewFailures_.erase(address);
            }
            return;
        }
        renewFailures_.erase(address);
        context_.host.onPeerRevisions(reply->catalogRevisions);
        lease_.onRenewReply(*reply, now);
        if (!reply->granted) {
            ++renewAttempt_;
            return;
        }
        renewAttempt_ = 0;
        context_.primaryTable.renew(reply->records, requestedAt - reply->age);
        context_.primaryTableChanged(now);
        // A holder that the store does not answer yields to one that it does; so this process finds out whether it does.
        if (reply->leaseHolderSinceStoreReply && *reply->leaseHolderSinceStoreReply >= context_.limits.storeSilenceTimeout
            && !storeRenewing_) {
            queryStore(now);
        }
    }

    void queryStore(TimePoint now)
    {
        storeRenewing_ = true;
        storeRenewedAt_ = now;
        context_.renewStore.list(leadership::fleetKind(), context_.limits.storeTimeout, [this, now](const Result<StoreListing> &listing) {
            storeRenewing_ = false;
            if (!listing) {
                return;
            }
            applyStoredTable(*listing, now);
        });
    }

    /// Takes the view that the store held at \a askedAt; only a registered proxy is waited for by moves, so only it may use one.
    void applyStoredTable(const StoreListing &listing, TimePoint requestedAt)
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
            context_.primaryTable.renew(records, requestedAt);
        } else {
            registry_.onEntryMissing();
        }
        context_.applyListing(listing, evloop::bootTimeNow());
    }

    LeadershipContext<Store> &context_;
    LeaseManager<Store> &lease_;
    ProxyRegistry<Store> &registry_;
    PrimaryTableSyncHandlers handlers_;
    bool renewPending_ = false;
    TimePoint renewedAt_;
    /// Renewals in a row that failed, by proxy.
    std::map<Address, unsigned> renewFailures_;
    /// Renewals in a row that brought no view.
    std::size_t renewAttempt_ = 0;
    /// Proxies that renew their views here, and when they last did.
    std::map<InstanceName, TimePoint> downstreamProxies_;
    /// What others told here that they acknowledged to callers.
    std::map<GroupName, LogPosition> acknowledged_;
    bool storeRenewing_ = false;
    TimePoint storeRenewedAt_;
};

} // namespace cardamomstep::gateway
