// The leadership service of one process: runs the service's parts.
#pragma once

#include "evloop/clock.h"
#include "fleet/server.h"
#include "gateway/fleetlending.h"
#include "gateway/fleetobjects.h"
#include "gateway/leadershipcontext.h"
#include "gateway/leasemanager.h"
#include "gateway/membercontrolconnections.h"
#include "gateway/primarychanges.h"
#include "gateway/primarymonitor.h"
#include "gateway/primarytablesync.h"
#include "gateway/proxymetrics.h"
#include "gateway/proxyregistry.h"
#include "gateway/recordwriter.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// The leadership service of one process; \a Store and \a Promoter are the platform's services.
template<relay::WireCodec Wire, typename Store, typename Promoter>
class LeadershipService
{
public:
    LeadershipService(boost::asio::io_context &loop,
                      const SessionSettings &settings,
                      const std::shared_ptr<StoreEpochs> &epochs,
                      const std::shared_ptr<StoreCalls> &calls,
                      CatalogRelay<StoreWatcher<Store>> &catalogRelay,
                      std::uint64_t seed,
                      const LeadershipHost &host)
        : context_{.loop = loop,
                   .settings = settings,
                   .host = host,
                   .limits = {},
                   .epochs = epochs,
                   .calls = calls,
                   .catalogRelay = catalogRelay,
                   .store = Store(loop, settings.store, epochs, calls),
                   .readStore = Store(loop, settings.store, epochs, calls),
                   .random = Random(seed),
                   .lease = leadership::FleetLease(settings.instance, seed ^ 1U, settings.newFleet),
                   .recordRecovery = leadership::RecordRecovery(),
                   .startedAt = evloop::bootTimeNow()}
        , registry_(context_)
        , leaseManager_(context_,
                        {[this] { onLeaseAcquired(); },
                         [this] {
                             onLeaseLost();
                         }})
        , recordWriter_(context_, leaseManager_)
        , primaryTableSync_(context_, leaseManager_, registry_, {[this](const fleet::RenewRequest &request, TimePoint now) {
                                monitor_.onObservations(request, now);
                            }})
        , fleetObjects_(context_, registry_, leaseManager_, primaryTableSync_)
        , controlConnections_(context_)
        , monitor_(context_, controlConnections_)
        , changes_(context_, registry_, primaryTableSync_, controlConnections_, monitor_)
        , lending_(context_, registry_)
        , timer_(loop)
    {
        context_.applyListing = [this](const StoreListing &listing, TimePoint now) {
            fleetObjects_.applyListing(listing, now);
        };
        context_.applyObject = [this](const StoredObject &object, TimePoint now) {
            fleetObjects_.applyObject(object, now);
        };
        context_.primaryTableChanged = [this](TimePoint now) {
            primaryTableChanged(now);
        };
    }

    [[nodiscard]] Result<Success> start()
    {
        server_ = std::make_unique<fleet::FleetServer>(serverHandlers());
        auto listening = server_->listen(context_.settings.listen.peers);
        if (!listening) {
            return listening;
        }
        fleetObjects_.start();
        // Listed after the registration: of any two proxies that start together, the later one sees the other, so that one of them
        // renews at the other and both learn of each other.
        registry_.registerSelf([this] { context_.catalogRelay.start(); });
        lastTick_ = evloop::bootTimeNow();
        schedule();
        return Success{};
    }

    /// Handles a change of the store's epoch; after the first one the fleet is listed again after \a delay.
    void onStoreEpoch(const StoreEpochChange &change, Milliseconds delay)
    {
        const auto now = evloop::bootTimeNow();
        const bool held = context_.lease.holds(now);
        context_.lease.onStoreEpoch(change, now);
        const auto remembered = recordWriter_.onStoreEpoch(change.epoch, held);
        if (held) {
            context_.grantEpoch.onStoreEpoch(change.epoch, now);
        }
        if (change.first) {
            return;
        }
        // Their records are of an earlier epoch; those that are due start again from the records of this one.
        changes_.clear();
        fleetObjects_.listAgain(held ? Milliseconds{0} : delay);
        context_.host.log(LogLevel::Warning,
                          "store_epoch_rose",
                          {{"epoch", static_cast<std::int64_t>(change.epoch.value)},
                           {"lease_held", static_cast<std::int64_t>(held ? 1 : 0)},
                           {"records_to_confirm", static_cast<std::int64_t>(remembered)}});
    }

    /// True while the primary table is valid and for 500 ms more; for the readiness check.
    [[nodiscard]] bool primaryTableCurrent(TimePoint now) const noexcept
    {
        return now < context_.primaryTable.validUntil() + Milliseconds{500};
    }

    /// True when this proxy watches the catalog with short waits on behalf of the others.
    [[nodiscard]] bool watchesCatalogForOthers() const
    {
        return context_.lease.holds(evloop::bootTimeNow()) || context_.renewalTree.watchesCatalog(context_.settings.instance);
    }

    /// True when this proxy watches the store on behalf of the others.
    ///
    /// Apart from the lease holder, a proxy does so only some time after its start: of proxies that start together, each is among the first
    /// of the ranking until it knows the others.
    [[nodiscard]] bool watchesStore(TimePoint now) const
    {
        const auto &self = context_.settings.instance;
        const bool ranked = context_.renewalTree.watchesCatalog(self) || context_.renewalTree.watchesForDomain(self);
        return context_.lease.holds(now) || (ranked && now - context_.startedAt >= context_.limits.watchForOthersAfter);
    }

    /// Leadership values for the metrics page and the status page.
    [[nodiscard]] LeadershipGauges gauges(TimePoint now) const
    {
        return {context_.lease.holds(now),
                context_.lease.holder(),
                wholeMilliseconds(context_.primaryTable.validUntil() - now),
                static_cast<std::uint32_t>(registry_.all().size())};
    }

    /// The registered proxies as targets of forwarded sessions.
    [[nodiscard]] std::vector<LiveInstance> sessionTargets() const
    {
        return registry_.sessionTargets();
    }

    /// Relinquishes the lease and does not acquire it again. This proxy's entry in the store stays: a stopped instance usually starts
    /// again.
    void leave()
    {
        leaving_ = true;
        leaseManager_.leave();
    }

    void stop()
    {
        stopped_ = true;
        timer_.cancel();
        fleetObjects_.stop();
        server_->stop();
    }

    [[nodiscard]] FleetLending<Store> &lending() noexcept
    {
        return lending_;
    }

    /// Handles a change of the directory of members.
    void membersChanged()
    {
        changes_.membersChanged();
    }

private:
    /// Passes the cached primary of each group to the engine; logs those that changed.
    void primaryTableChanged(TimePoint now)
    {
        for (const auto &record : context_.primaryTable.all()) {
            const auto primary = context_.primaryTable.primaryOf(record.group);
            auto &lastPublished = lastPublished_[record.group];
            if (lastPublished.member != primary.member || lastPublished.generation != primary.generation
                || lastPublished.changeInProgress != primary.changeInProgress) {
                context_.host.log(LogLevel::Info,
                                  "primary",
                                  {{"group", record.group.text()},
                                   {"member", primary.member.text()},
                                   {"generation", static_cast<std::int64_t>(primary.generation)},
                                   {"held", static_cast<std::int64_t>(primary.changeInProgress ? 1 : 0)},
                                   {"revision", static_cast<std::int64_t>(record.revision.value)}});
            }
            lastPublished = primary;
            context_.host.engine.setPrimary(record.group, primary, now);
        }
        context_.host.perform();
    }

    // Timer

    void schedule()
    {
        timer_.expires_after(context_.limits.tickInterval);
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (error || stopped_) {
                return;
            }
            tick(evloop::bootTimeNow());
            schedule();
        });
    }

    void tick(TimePoint now)
    {
        if (now - lastTick_ >= context_.limits.processPauseThreshold) {
            context_.host.log(LogLevel::Warning, "standstill", {{"ms", wholeMilliseconds(now - lastTick_).count()}});
            monitor_.restart(now);
        }
        lastTick_ = now;
        context_.catalogRelay.tick(watchesStore(now), context_.renewalTree.servesOthers(context_.settings.instance), now);
        if (!leaving_) {
            registry_.retryRegistration();
        }
        controlConnections_.expire(now);
        leaseManager_.tick(now);
        const auto &lease = context_.lease;
        if (lease.holds(now)) {
            runLeaseHolderDuties(now);
        } else {
            primaryTableSync_.renew(now, fleetObjects_.listed());
        }
        if (!lease.holds(now) || lease.needsRead()) {
            leaseManager_.read(now, fleetObjects_.listed());
        }
    }

    // Calls from other proxies

    fleet::FleetHandlers serverHandlers()
    {
        fleet::FleetHandlers handlers;
        handlers.renew = [this](fleet::RenewRequest request, std::function<void(fleet::RenewReply)> sendReply) {
            boost::asio::post(context_.loop, [this, request = std::move(request), sendReply = std::move(sendReply)] {
                sendReply(primaryTableSync_.grant(request));
            });
        };
        handlers.announce = [this](const fleet::Announcement &announcement, std::function<void(fleet::QuiesceReply)> sendReply) {
            boost::asio::post(context_.loop, [this, announcement, sendReply = std::move(sendReply)] {
                primaryTableSync_.onAnnouncement(announcement, sendReply);
            });
        };
        handlers.lend = lending_.handler();
        return handlers;
    }

    // Duties of the lease holder

    void onLeaseAcquired()
    {
        registry_.restart(evloop::bootTimeNow());
        context_.recordRecovery.reset(context_.epochs->newest());
        context_.grantEpoch.onAcquired(context_.epochs->newest());
        monitor_.clear();
        changes_.clear();
    }

    void onLeaseLost()
    {
        changes_.clear();
        context_.recordRecovery.reset(context_.epochs->newest());
        controlConnections_.closeAll();
    }

    void runLeaseHolderDuties(TimePoint now)
    {
        const auto &lease = context_.lease;
        if (!leaseManager_.recordsCurrent() || now < lease.acquiredAt()) {
            return;
        }
        const auto &primaryTable = context_.primaryTable;
        primaryTableSync_.renewAsLeaseHolder(now);
        primaryTableChanged(now);
        recordWriter_.writeAgain(now);
        // True once all primary tables that an earlier lease holder granted, or that a removed proxy still used, have expired.
        const bool tablesExpired = now - std::max(lease.acquiredAt(), registry_.removedAt()) >= leadership::primaryTableLease;
        const bool mayChange =
            tablesExpired && context_.grantEpoch.earlierTablesExpired(now) && now - context_.startedAt >= context_.limits.membersSettleTime;
        for (const auto &[group, config] : context_.host.engine.routes().groups()) {
            const auto *record = primaryTable.find(group);
            if (record == nullptr) {
                recordWriter_.createFirst(group, now);
                continue;
            }
            monitor_.check(*record, now);
            if (mayChange && context_.recordRecovery.current(*record) && !changes_.contains(group)) {
                changes_.startIfNeeded(*record, now);
            }
        }
        changes_.stepAll(now);
        controlConnections_.maintainConnections(now);
        registry_.removeExpired(now);
    }

    LeadershipContext<Store> context_;
    ProxyRegistry<Store> registry_;
    LeaseManager<Store> leaseManager_;
    RecordWriter<Store> recordWriter_;
    PrimaryTableSync<Store> primaryTableSync_;
    FleetObjects<Store> fleetObjects_;
    MemberControlConnections<Wire, Store> controlConnections_;
    PrimaryMonitor<Wire, Store> monitor_;
    PrimaryChanges<Wire, Store, Promoter> changes_;
    FleetLending<Store> lending_;
    boost::asio::steady_timer timer_;
    TimePoint lastTick_;
    std::unique_ptr<fleet::FleetServer> server_;
    /// The cached primary of each group that was last passed to the engine.
    std::map<GroupName, relay::CachedPrimary> lastPublished_;
    bool leaving_ = false;
    bool stopped_ = false;
};

} // namespace cardamomstep::gateway
