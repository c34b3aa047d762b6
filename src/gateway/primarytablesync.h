// Keeps this process' primary table current, and the tables of the proxies that renew theirs here.
#pragma once

#include "evloop/clock.h"
#include "fleet/messages.h"
#include "gateway/leadershipcontext.h"
#include "gateway/leasemanager.h"
#include "gateway/primaryobservation.h"
#include "gateway/proxyregistry.h"
#include "leadership/downstreamproxies.h"
#include "leadership/observationreport.h"
#include "leadership/recorddelta.h"
#include "leadership/recordjson.h"
#include "leadership/renewalsources.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// Callbacks of a PrimaryTableSync.
struct PrimaryTableSyncHandlers {
    /// Another proxy reported its observations of primaries.
    std::function<void(const fleet::RenewRequest &request, TimePoint now)> onObservations;
};

/// Renews the primary table from the lease holder, a proxy that renews there, or the store; grants the table to other proxies.
template<typename Store>
class PrimaryTableSync
{
public:
    PrimaryTableSync(LeadershipContext<Store> &context,
                     LeaseManager<Store> &leaseManager,
                     ProxyRegistry<Store> &registry,
                     PrimaryTableSyncHandlers handlers)
        : context_(context)
        , leaseManager_(leaseManager)
        , registry_(registry)
        , handlers_(std::move(handlers))
        , recordSender_(randomProcessId())
    {
    }

    /// Renews the primary table when that is due; from the store only if \a fleetListed, that is, once this process has listed the fleet.
    void renew(TimePoint now, bool fleetListed)
    {
        if (!renewPending_ && now - renewedAt_ >= renewInterval()) {
            queryProxy(now);
        }
        const auto renewAfter = context_.renewalTree.readsStore(context_.settings.instance) ? context_.limits.readerRenewAfter
                                                                                            : context_.limits.storeRenewAfter;
        if (fleetListed && renewableSince_ == TimePoint{}) {
            renewableSince_ = now;
        }
        // A proxy that starts lets its source grant the first table.
        const bool stale = now - std::max(context_.primaryTable.asOf(), renewableSince_) >= renewAfter;
        if (stale && fleetListed && registry_.registered() && !storeRenewPending_
            && now - storeRenewedAt_ >= context_.limits.storeRenewInterval) {
            queryStore(now);
        }
    }

    /// Returns the reply to a proxy that renews its primary table here.
    fleet::RenewReply grant(const fleet::RenewRequest &request)
    {
        const auto now = evloop::bootTimeNow();
        leaseManager_.relinquishIfIsolated(request, now);
        fleet::RenewReply reply;
        reply.records.id.process = recordSender_.process();
        reply.lease = context_.lease.report(now);
        reply.relinquishedToken = leaseManager_.relinquishedToken();
        downstreamProxies_.onContact(request.instance, now);
        downstreamProxies_.onReported(request.downstreamProxies, now);
        for (const auto &observation : request.observations) {
            auto &reported = acknowledged_[observation.group];
            reported = std::max(reported, observation.acknowledged);
        }
        context_.catalogRelay.onPeerRevisions(request.catalogRevisions, now);
        reply.catalogRevisions = context_.catalogRelay.revisions();
        context_.catalogRelay.fillReply(request, reply, now);
        handlers_.onObservations(request, now);
        if (!context_.lease.holds(now)) {
            // The table is granted with its age, so it expires at the requesting proxy when it expires here.
            // Primary changes wait only for the tables of registered proxies, so others are granted none.
            reply.granted = now - context_.primaryTable.asOf() < leadership::primaryTableLease * 3 / 4
                && registry_.registeredIn(request.instance, tableEpoch_);
            reply.age = std::chrono::ceil<Milliseconds>(now - context_.primaryTable.asOf());
            if (reply.granted) {
                reply.records = recordSender_.encode(context_.primaryTable.current(), request.knownRecords);
            }
            reply.tableEpoch = tableEpoch_;
            return reply;
        }
        // The granted table must expire before another proxy can acquire the lease.
        reply.granted = context_.lease.holds(now + leadership::primaryTableLease) && leaseManager_.recordsCurrent()
            && registry_.registeredIn(request.instance, context_.grantEpoch.at(now));
        reply.leaseHolderSinceStoreReply = wholeMilliseconds(now - context_.lastStoreReplyAt);
        registry_.onContact(request.instance, now);
        for (const auto &proxy : request.downstreamProxies) {
            registry_.onContact(proxy.instance, now - proxy.sinceContact);
        }
        if (reply.granted) {
            reply.records = recordSender_.encode(context_.recordRecovery.trustedRecords(context_.primaryTable), request.knownRecords);
        }
        reply.tableEpoch = context_.grantEpoch.at(now);
        return reply;
    }

    /// Applies a record that the lease holder announces; \a sendReply is called as by quiesceThenReply().
    void onAnnouncement(const fleet::Announcement &announcement, const std::function<void(fleet::QuiesceReply)> &sendReply)
    {
        context_.primaryTable.accept(announcement.record);
        context_.primaryTableChanged(evloop::bootTimeNow());
        quiesceThenReply(announcement.record, evloop::bootTimeNow() + announcement.drainTimeout, sendReply);
    }

    /// Replies once nothing with durable effects is in flight at the group's primary, or when \a until is reached.
    ///
    /// Fences the primary before the reply. Without a primary change in progress, replies at once and fences nothing.
    void quiesceThenReply(const leadership::GroupRecord &record, TimePoint until, const std::function<void(fleet::QuiesceReply)> &sendReply)
    {
        constexpr Milliseconds pollInterval{10};
        const auto now = evloop::bootTimeNow();
        if (record.changeInProgress && now < until && context_.host.engine.durableInFlight(record.group) > 0) {
            const auto timer = std::make_shared<boost::asio::steady_timer>(context_.loop, pollInterval);
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

    /// Highest position in \a group that this process acknowledged to callers, or that other proxies reported here as acknowledged.
    [[nodiscard]] LogPosition acknowledged(const GroupName &group) const
    {
        const auto reported = acknowledged_.find(group);
        const auto own = context_.host.engine.acknowledged(group);
        return reported == acknowledged_.end() ? own : std::max(own, reported->second);
    }

    /// Renews this process' own table from the records on which it may rely as the lease holder.
    void renewAsLeaseHolder(TimePoint now)
    {
        auto &table = context_.primaryTable;
        table.renew(context_.recordRecovery.trustedRecords(table),
                    std::min(now, context_.lease.validUntil() - leadership::primaryTableLease));
        tableEpoch_ = std::max(tableEpoch_, context_.grantEpoch.at(now));
    }

    /// Forgets a proxy that is not registered any more.
    void forget(const InstanceName &proxy)
    {
        downstreamProxies_.forget(proxy);
    }

private:
    /// Consecutive failed calls to a proxy after which its connection is dropped, so that the next call opens a new one.
    static constexpr unsigned maxRenewFailures = 2;

    /// Returns an id that differs between processes, also between those of one instance.
    [[nodiscard]] static std::uint64_t randomProcessId()
    {
        std::random_device random;
        std::uniform_int_distribution<std::uint64_t> ids(1);
        return ids(random);
    }

    /// Requests the primary table of the lease holder, or of a proxy that renews there.
    void queryProxy(TimePoint now)
    {
        const auto *source = registry_.find(sources_.next(context_.renewalTree, context_.settings.instance, context_.lease.holder(), now));
        if (source == nullptr) {
            sources_.onRefused();
            return;
        }
        renewPending_ = true;
        renewedAt_ = now;
        const auto done = [this, now, name = source->instance, address = source->address](const Result<fleet::RenewReply> &reply) {
            renewPending_ = false;
            lastRenewFailed_ = !reply;
            if (!reply) {
                onRenewFailed(name, address);
                return;
            }
            renewFailures_.erase(address);
            onRenewReply(now, name, *reply);
        };
        context_.client.renew(
            source->address, request(now, source->instance), context_.limits.renewTimeout, [this, done](Result<fleet::RenewReply> reply) {
                boost::asio::post(context_.loop, [done, reply = std::move(reply)] { done(reply); });
            });
    }

    /// Returns the time between two renewals: shorter where others depend on the age of this proxy's table, or where it has come through a
    /// region's head.
    [[nodiscard]] Milliseconds renewInterval() const
    {
        const auto &tree = context_.renewalTree;
        const auto &self = context_.settings.instance;
        const bool shorter = tree.servesOthers(self) || tree.inDifferentRegions(self, context_.lease.holder());
        return shorter ? context_.limits.shortRenewInterval : context_.limits.renewInterval;
    }

    fleet::RenewRequest request(TimePoint now, const InstanceName &receiver)
    {
        fleet::RenewRequest renewRequest;
        renewRequest.instance = context_.settings.instance;
        if (context_.lastStoreReplyAt != TimePoint{}) {
            renewRequest.sinceStoreReply = wholeMilliseconds(now - context_.lastStoreReplyAt);
        }
        renewRequest.catalogRevisions = context_.catalogRelay.revisions();
        if (!lastRenewFailed_) {
            // On a slow link, a reply with objects may take longer than the timeout; the table itself must not be lost with it each time.
            context_.catalogRelay.fillRequest(renewRequest, now);
        }
        renewRequest.downstreamProxies = downstreamProxies_.reportIfDue(now);
        std::vector<leadership::PrimaryObservation> observations;
        for (const auto &record : context_.primaryTable.all()) {
            observations.push_back(observationOf(context_.host.engine, record, now));
            observations.back().acknowledged = acknowledged(record.group);
        }
        renewRequest.observations = observationReport_.due(observations, receiver, receiver == context_.lease.holder(), now);
        renewRequest.knownRecords = recordReceiver_.known();
        return renewRequest;
    }

    void onRenewFailed(const InstanceName &source, const Address &address)
    {
        sources_.onFailed(source, evloop::bootTimeNow());
        if (++renewFailures_[address] >= maxRenewFailures) {
            context_.client.forget(address);
            renewFailures_.erase(address);
        }
    }

    void onRenewReply(TimePoint requestedAt, const InstanceName &source, const fleet::RenewReply &reply)
    {
        const auto now = evloop::bootTimeNow();
        context_.catalogRelay.onRenewReply(reply, requestedAt, now);
        downstreamProxies_.onReply();
        leaseManager_.onRenewReply(reply, now);
        if (!observationReport_.onReply(reply.records.id.process)) {
            // The receiver restarted and lacks the positions that were left out.
            renewedAt_ = TimePoint{};
        }
        const auto records = reply.granted ? recordReceiver_.decode(reply.records) : std::nullopt;
        if (!records) {
            sources_.onRefused();
            return;
        }
        sources_.onGranted(source);
        tableEpoch_ = std::max(tableEpoch_, reply.tableEpoch);
        context_.primaryTable.renew(*records, requestedAt - reply.age);
        context_.primaryTableChanged(now);
        // A lease holder without replies from the store relinquishes the lease to a proxy that gets them; this read shows whether
        // this proxy does.
        if (reply.leaseHolderSinceStoreReply && *reply.leaseHolderSinceStoreReply >= context_.limits.storeSilenceTimeout
            && !storeRenewPending_) {
            queryStore(now);
        }
    }

    void queryStore(TimePoint now)
    {
        storeRenewPending_ = true;
        storeRenewedAt_ = now;
        context_.readStore.list(leadership::fleetKind(), context_.limits.storeTimeout, [this, now](const Result<StoreListing> &listing) {
            storeRenewPending_ = false;
            if (!listing) {
                return;
            }
            applyStoredTable(*listing, now);
        });
    }

    /// Renews the primary table from a listing that was requested at \a requestedAt.
    ///
    /// Primary changes wait only for registered proxies, so an unregistered one must not use the stored table.
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
            tableEpoch_ = std::max(tableEpoch_, listing.revision.epoch);
            context_.primaryTable.renew(records, requestedAt);
        } else {
            registry_.onEntryMissing();
        }
        context_.applyListing(listing, evloop::bootTimeNow());
    }

    LeadershipContext<Store> &context_;
    LeaseManager<Store> &leaseManager_;
    ProxyRegistry<Store> &registry_;
    PrimaryTableSyncHandlers handlers_;
    /// The newest epoch of the store under which any of this process' tables was granted.
    StoreEpoch tableEpoch_;
    bool renewPending_ = false;
    bool lastRenewFailed_ = false;
    TimePoint renewedAt_;
    /// The number of consecutive failed renewals, by proxy.
    std::map<Address, unsigned> renewFailures_;
    leadership::RenewalSources sources_;
    leadership::RecordDeltaSender recordSender_;
    leadership::RecordDeltaReceiver recordReceiver_;
    leadership::ObservationReport observationReport_;
    /// Proxies that renew their primary tables here, or at proxies that do.
    leadership::DownstreamProxies downstreamProxies_;
    /// Highest positions that other proxies reported here as acknowledged to callers.
    std::map<GroupName, LogPosition> acknowledged_;
    bool storeRenewPending_ = false;
    TimePoint storeRenewedAt_;
    /// When the fleet was first listed.
    TimePoint renewableSince_;
};

} // namespace cardamomstep::gateway
