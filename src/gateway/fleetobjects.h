// The fleet's objects in the store: watches them, and applies what the store or another proxy brings.
#pragma once

#include "evloop/clock.h"
#include "gateway/leadershipcontext.h"
#include "gateway/leasemanager.h"
#include "gateway/primarytablesync.h"
#include "gateway/proxyregistry.h"
#include "gateway/storewatcher.h"
#include "leadership/recordjson.h"

#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace cardamomstep::gateway {

/// Applies the group records, the lease and the entries of proxies.
///
/// Only the entries of proxies are passed on between proxies; records come with the primary tables.
template<typename Store>
class FleetObjects
{
public:
    FleetObjects(LeadershipContext<Store> &context,
                 ProxyRegistry<Store> &registry,
                 LeaseManager<Store> &leaseManager,
                 PrimaryTableSync<Store> &primaryTableSync)
        : context_(context)
        , registry_(registry)
        , leaseManager_(leaseManager)
        , primaryTableSync_(primaryTableSync)
        , unreadable_({context.host.log, context.host.entryUnreadable})
    {
    }

    /// Creates the watcher, which is paused until CatalogRelay resumes it.
    void start()
    {
        StoreWatcherHandlers handlers;
        handlers.listed = [this](const StoreListing &listing) {
            applyListing(listing, evloop::bootTimeNow());
        };
        handlers.changed = [this](const StoreChanges &changes) {
            const auto now = evloop::bootTimeNow();
            context_.lastStoreReplyAt = now;
            unreadable_.onUnnamed(fleetDependency, changes.unreadable, changes.revision);
            for (const auto &object : changes.changes) {
                applyObject(object, now);
            }
            proxiesChanged();
            context_.primaryTableChanged(now);
        };
        handlers.failed = [](const Error &) {
        };
        handlers.relayed = [this](const ObjectUpdate &update) {
            std::visit([this](const auto &relayed) { applyRelayed(relayed, evloop::bootTimeNow()); }, update);
        };
        handlers.mayBeRelayed = [](const StoredObject &object) {
            return leadership::instanceOf(object).has_value();
        };
        storeWatcher_ =
            std::make_shared<StoreWatcher<Store>>(context_.loop,
                                                  Store(context_.loop, context_.settings.store, context_.epochs, context_.calls),
                                                  leadership::fleetKind(),
                                                  context_.limits.watch,
                                                  context_.limits.watchSettleDelay,
                                                  context_.random(),
                                                  std::move(handlers));
        storeWatcher_->pause();
        context_.catalogRelay.attach(CatalogPart::Proxies, storeWatcher_);
    }

    /// Applies a listing of all objects of the fleet.
    void applyListing(const StoreListing &listing, TimePoint now)
    {
        context_.lastStoreReplyAt = now;
        unreadable_.onUnnamed(fleetDependency, listing.unreadable, listing.revision);
        // A listing for the records may be older than the entries that came with a renewal meanwhile.
        const bool entriesOutdated = listing.revision < storeWatcher_->history().complete();
        if (!entriesOutdated) {
            registry_.clear();
        }
        std::vector<leadership::GroupRecord> records;
        for (const auto &object : listing.objects) {
            const auto decoded = leadership::decodeFleetObject(object);
            if (!entriesOutdated || !std::holds_alternative<leadership::ProxyEntry>(decoded)) {
                applyDecoded(decoded, object, now);
            }
            if (const auto *record = std::get_if<leadership::GroupRecord>(&decoded)) {
                records.push_back(*record);
            }
        }
        if (!entriesOutdated) {
            registry_.onListed(listing.revision);
        }
        context_.recordRecovery.onListing(records, context_.primaryTable);
        listed_ = true;
        proxiesChanged();
        context_.primaryTableChanged(now);
    }

    /// Applies one object.
    void applyObject(const StoredObject &object, TimePoint now)
    {
        applyDecoded(leadership::decodeFleetObject(object), object, now);
    }

    /// Lists again after \a delay, because the store changed its epoch.
    void listAgain(Milliseconds delay)
    {
        storeWatcher_->listAgain(delay);
    }

    void stop()
    {
        if (storeWatcher_) {
            storeWatcher_->stop();
        }
    }

    /// True once the fleet was listed.
    [[nodiscard]] bool listed() const noexcept
    {
        return listed_;
    }

private:
    static constexpr std::string_view fleetDependency = "fleet";

    /// Applies the entries of all registered proxies, which came with a renewal.
    void applyRelayed(const StoreListing &listing, TimePoint now)
    {
        registry_.clear();
        for (const auto &object : listing.objects) {
            applyRelayed(object, now);
        }
        if (registry_.find(context_.settings.instance) == nullptr) {
            confirmOwnEntry(listing.revision);
        }
        proxiesChanged();
    }

    void applyRelayed(const StoreChanges &changes, TimePoint now)
    {
        for (const auto &object : changes.changes) {
            applyRelayed(object, now);
        }
        proxiesChanged();
    }

    /// Applies an entry that came with a renewal.
    void applyRelayed(const StoredObject &object, TimePoint now)
    {
        const auto instance = leadership::instanceOf(object);
        if (!instance) {
            return;
        }
        const auto decoded = leadership::decodeFleetObject(object);
        const auto *proxy = std::get_if<leadership::ProxyEntry>(&decoded);
        const bool own = *instance == context_.settings.instance;
        if (own && (object.deleted || proxy == nullptr || !registry_.matchesOwnEntry(*proxy))) {
            confirmOwnEntry(object.version);
        }
        if (object.deleted && !own) {
            applyRemoval(*instance);
        } else if (!object.deleted && proxy != nullptr) {
            registry_.put(*proxy, object.version, true, now);
        }
    }

    /// Lists the fleet if this proxy's entry was absent or different at \a asOf: only what the store itself says makes this proxy register
    /// again.
    void confirmOwnEntry(Revision asOf)
    {
        if (registry_.ownRevision() < asOf) {
            storeWatcher_->listOnce();
        }
    }

    void proxiesChanged()
    {
        context_.renewalTree.setProxies(registry_.locations());
        context_.host.proxiesChanged();
    }

    void applyDecoded(const leadership::FleetObject &decoded, const StoredObject &object, TimePoint now)
    {
        unreadable_.onEntry(fleetDependency, object, leadership::isReadable(decoded));
        if (const auto *lease = std::get_if<leadership::LeaseState>(&decoded)) {
            leaseManager_.onStoredLease(object.deleted ? std::nullopt : std::optional(*lease), object.version.epoch, now);
        } else if (const auto *record = std::get_if<leadership::GroupRecord>(&decoded); record != nullptr && !object.deleted) {
            context_.primaryTable.accept(*record);
            context_.recordRecovery.onStored(*record);
        } else if (object.deleted) {
            // The value of a deleted object may be missing.
            if (const auto instance = leadership::instanceOf(object)) {
                applyRemoval(*instance);
            }
        } else if (const auto *proxy = std::get_if<leadership::ProxyEntry>(&decoded)) {
            registry_.put(*proxy, object.version, false, now);
        }
    }

    void applyRemoval(const InstanceName &instance)
    {
        registry_.remove(instance);
        primaryTableSync_.forget(instance);
    }

    LeadershipContext<Store> &context_;
    ProxyRegistry<Store> &registry_;
    LeaseManager<Store> &leaseManager_;
    PrimaryTableSync<Store> &primaryTableSync_;
    UnreadableEntries unreadable_;
    std::shared_ptr<StoreWatcher<Store>> storeWatcher_;
    bool listed_ = false;
};

} // namespace cardamomstep::gateway
