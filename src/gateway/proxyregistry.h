// The registered proxies: this one's entry in the store, the others', and which of them live.
#pragma once

#include "evloop/clock.h"
#include "gateway/leadershipcontext.h"
#include "leadership/proxyliveness.h"
#include "leadership/recordjson.h"
#include "membership/rendezvous.h"

#include <map>
#include <vector>

namespace cardamomstep::gateway {

/// A registered proxy and the revision of its entry.
struct RegisteredProxy {
    leadership::ProxyEntry entry;
    Revision revision;
};

/// Knows the registered proxies and keeps this one among them.
template<typename Store>
class ProxyRegistry
{
public:
    explicit ProxyRegistry(LeaderContext<Store> &context)
        : context_(context)
    {
    }

    void enroll()
    {
        const auto value = leadership::encode(leadership::ProxyEntry{context_.settings.instance,
                                                                     context_.settings.listen.peers,
                                                                     context_.settings.listen.sessions,
                                                                     context_.settings.failureDomain});
        const auto key = leadership::proxyKey(context_.settings.instance);
        context_.store.create(key, value, context_.limits.storeTimeout, [this, key, value](const Result<StoredObject> &created) {
            if (created) {
                registered_ = created->version;
                return;
            }
            if (created.error().kind == ErrorKind::Conflict) {
                // Left by an earlier process of this instance; its address may be another one.
                context_.store.replace(key, Revision{}, value, context_.limits.storeTimeout, [this](const Result<StoredObject> &replaced) {
                    if (replaced) {
                        registered_ = replaced->version;
                    } else {
                        failed_ = true;
                    }
                });
                return;
            }
            failed_ = true;
        });
    }

    /// Registers again where the store refused or did not answer.
    void retry()
    {
        if (std::exchange(failed_, false)) {
            enroll();
        }
    }

    /// Takes in that the store holds no entry of this proxy, though it should.
    void missed()
    {
        if (registered()) {
            registered_ = Revision{};
            failed_ = true;
            context_.host.log(LogLevel::Warning, "entry_missed", {});
        }
    }

    [[nodiscard]] bool registered() const noexcept
    {
        return registered_.value != 0;
    }

    /// Takes in the entry of a proxy.
    void put(const leadership::ProxyEntry &entry, Revision revision, TimePoint now)
    {
        proxies_[entry.instance] = {entry, revision};
        attendance_.known(entry.instance, now);
    }

    void remove(const InstanceName &instance)
    {
        proxies_.erase(instance);
        attendance_.forget(instance);
        if (instance == context_.settings.instance) {
            missed();
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

    /// The registered proxies that take sessions of others, as targets of sessions.
    [[nodiscard]] std::vector<LiveInstance> sessionTargets() const
    {
        std::vector<LiveInstance> targets;
        for (const auto &[instance, proxy] : proxies_) {
            targets.push_back({instance, proxy.entry.failureDomain, proxy.entry.sessions});
        }
        return targets;
    }

    /// Notes that \a instance renewed its view here or through a proxy that did.
    void heard(const InstanceName &instance, TimePoint now)
    {
        attendance_.heard(instance, now);
    }

    /// Gives every proxy time to be heard of, when this process takes the lease.
    void restart(TimePoint now)
    {
        attendance_.restart(now);
    }

    /// Removes proxies from the store that are gone for good.
    void removeDead(TimePoint now)
    {
        for (const auto &[instance, proxy] : proxies_) {
            if (instance == context_.settings.instance || !attendance_.gone(instance, now)) {
                continue;
            }
            attendance_.heard(instance, now);
            removedAt_ = now;
            context_.store.remove(
                leadership::proxyKey(instance), proxy.revision, context_.limits.storeTimeout, [](const Result<Success> &) {});
            context_.host.log(LogLevel::Info, "proxy_removed", {{"proxy", instance.text()}});
        }
    }

    /// When a proxy was last removed; its view may last for a view lease from then.
    [[nodiscard]] TimePoint removedAt() const noexcept
    {
        return removedAt_;
    }

private:
    LeaderContext<Store> &context_;
    std::map<InstanceName, RegisteredProxy> proxies_;
    leadership::Attendance attendance_;
    /// Revision of this proxy's own entry; 0 until it is registered.
    Revision registered_;
    bool failed_ = false;
    TimePoint removedAt_;
};

} // namespace cardamomstep::gateway
