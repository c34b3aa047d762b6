// The registered proxies: this proxy's entry in the store, the entries of the others, and their liveness.
#pragma once

#include "evloop/clock.h"
#include "gateway/leadershipcontext.h"
#include "leadership/proxyliveness.h"
#include "leadership/recordjson.h"
#include "membership/rendezvous.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// A registered proxy and the revision of its entry.
struct RegisteredProxy {
    leadership::ProxyEntry entry;
    Revision revision;
};

/// Tracks the registered proxies and keeps this one registered.
template<typename Store>
class ProxyRegistry
{
public:
    explicit ProxyRegistry(LeadershipContext<Store> &context)
        : context_(context)
    {
    }

    /// Writes this proxy's entry to the store, and calls \a done after the reply; retryRegistration() repeats a write that failed.
    void registerSelf(const std::function<void()> &done = [] {})
    {
        const auto value = leadership::encode(ownEntry());
        const auto key = leadership::proxyKey(context_.settings.instance);
        const auto registered = [this, done](const Result<StoredObject> &written) {
            if (written) {
                ownRevision_ = written->version;
            } else {
                registrationFailed_ = true;
            }
            done();
        };
        context_.store.create(
            key, value, context_.limits.storeTimeout, [this, key, value, registered](const Result<StoredObject> &created) {
                const bool first = !std::exchange(registeredBefore_, true);
                if (!created && created.error().kind == ErrorKind::Conflict) {
                    if (first) {
                        // Nobody removed the entry of this instance, so nobody took over its shares of customers' limits.
                        context_.host.engine.customerLimits().resumeShares(evloop::bootTimeNow());
                    }
                    // An earlier process of this instance left the entry, possibly with another address.
                    context_.store.replace(key, Revision{}, value, context_.limits.storeTimeout, registered);
                    return;
                }
                registered(created);
            });
    }

    /// Registers again if the store refused the last attempt or did not reply.
    void retryRegistration()
    {
        if (std::exchange(registrationFailed_, false)) {
            registerSelf();
        }
    }

    /// Handles the absence of this proxy's entry from the store: retryRegistration() registers it again.
    void onEntryMissing()
    {
        if (ownRevision_.value != 0) {
            ownRevision_ = Revision{};
            registrationFailed_ = true;
            context_.host.log(LogLevel::Warning, "entry_missed", {});
        }
    }

    /// True if the store's present epoch is known to contain this proxy's entry.
    [[nodiscard]] bool registered() const noexcept
    {
        return ownRevision_.value != 0 && ownRevision_.epoch == context_.epochs->newest();
    }

    /// True if \a instance was seen registered in \a epoch or a later one.
    [[nodiscard]] bool registeredIn(const InstanceName &instance, StoreEpoch epoch) const
    {
        const auto found = proxies_.find(instance);
        return found != proxies_.end() && found->second.revision.epoch >= epoch;
    }

    /// Revision of this proxy's own entry; 0 until it is registered.
    [[nodiscard]] Revision ownRevision() const noexcept
    {
        return ownRevision_;
    }

    /// True if \a entry is what this proxy registered.
    [[nodiscard]] bool matchesOwnEntry(const leadership::ProxyEntry &entry) const
    {
        return entry == ownEntry();
    }

    /// Adds or replaces the entry of a proxy; \a relayed if it came from another proxy.
    void put(const leadership::ProxyEntry &entry, Revision revision, bool relayed, TimePoint now)
    {
        proxies_[entry.instance] = {entry, revision};
        liveness_.onRegistered(entry.instance, now);
        if (entry.instance == context_.settings.instance && ownRevision_ < revision) {
            onOwnEntry(entry, revision, relayed);
        }
    }

    /// Registers this proxy again if the store came back from a copy without its entry.
    void onListed(Revision asOf)
    {
        if (ownRevision_ < asOf && find(context_.settings.instance) == nullptr) {
            onEntryMissing();
        }
    }

    void remove(const InstanceName &instance)
    {
        proxies_.erase(instance);
        liveness_.forget(instance);
        if (instance == context_.settings.instance) {
            onEntryMissing();
        }
    }

    void clear()
    {
        proxies_.clear();
    }

    /// The proxy named \a instance; null when none is registered.
    [[nodiscard]] const leadership::ProxyEntry *find(const InstanceName &instance) const
    {
        const auto found = proxies_.find(instance);
        return found == proxies_.end() ? nullptr : &found->second.entry;
    }

    /// All registered proxies by name.
    [[nodiscard]] const std::map<InstanceName, RegisteredProxy> &all() const noexcept
    {
        return proxies_;
    }

    [[nodiscard]] std::vector<InstanceName> names() const
    {
        std::vector<InstanceName> names;
        for (const auto &[instance, proxy] : proxies_) {
            names.push_back(instance);
        }
        return names;
    }

    /// The registered proxies that can be reached, and where they stand.
    [[nodiscard]] std::vector<leadership::ProxyLocation> locations() const
    {
        std::vector<leadership::ProxyLocation> locations;
        for (const auto &[instance, proxy] : proxies_) {
            if (proxy.entry.address.empty()) {
                continue;
            }
            locations.push_back({instance, proxy.entry.failureDomain, proxy.entry.region});
        }
        return locations;
    }

    /// The registered proxies as targets of forwarded sessions; the address is empty for those that accept none.
    [[nodiscard]] std::vector<LiveInstance> sessionTargets() const
    {
        std::vector<LiveInstance> targets;
        for (const auto &[instance, proxy] : proxies_) {
            targets.push_back({instance, proxy.entry.failureDomain, proxy.entry.sessions});
        }
        return targets;
    }

    /// Records that \a instance renewed its primary table here or through a proxy that did.
    void onContact(const InstanceName &instance, TimePoint now)
    {
        liveness_.onContact(instance, now);
    }

    /// Restarts the liveness timeout of every proxy, when this process acquires the lease.
    void restart(TimePoint now)
    {
        liveness_.restart(now);
    }

    /// Removes the entries of proxies without contact for the removal timeout from the store.
    void removeExpired(TimePoint now)
    {
        for (const auto &[instance, proxy] : proxies_) {
            if (instance == context_.settings.instance || !liveness_.isExpired(instance, now)) {
                continue;
            }
            // Restarts the timeout: a removal that fails is repeated only after it, not in every tick.
            liveness_.onContact(instance, now);
            removedAt_ = now;
            context_.store.remove(
                leadership::proxyKey(instance), proxy.revision, context_.limits.storeTimeout, [](const Result<Success> &) {});
            context_.host.log(LogLevel::Info, "proxy_removed", {{"proxy", instance.text()}});
        }
    }

    /// When a proxy was last removed; its primary table may stay valid for a whole `primaryTableLease` from then.
    [[nodiscard]] TimePoint removedAt() const noexcept
    {
        return removedAt_;
    }

private:
    [[nodiscard]] leadership::ProxyEntry ownEntry() const
    {
        return {context_.settings.instance,
                context_.settings.listen.peers,
                context_.settings.listen.sessions,
                context_.settings.failureDomain,
                context_.settings.region};
    }

    /// Handles the stored entry of this proxy, which an earlier process of the instance may have written with other addresses.
    void onOwnEntry(const leadership::ProxyEntry &entry, Revision revision, bool relayed)
    {
        if (matchesOwnEntry(entry)) {
            ownRevision_ = revision;
        } else if (ownRevision_.value != 0 && !relayed) {
            onEntryMissing();
        }
    }

    LeadershipContext<Store> &context_;
    std::map<InstanceName, RegisteredProxy> proxies_;
    leadership::ProxyLiveness liveness_;
    /// Revision of this proxy's own entry; 0 until it is registered.
    Revision ownRevision_;
    bool registrationFailed_ = false;
    /// The store replied to a registration of this process.
    bool registeredBefore_ = false;
    TimePoint removedAt_;
};

} // namespace cardamomstep::gateway
