// Tracks the other proxies through pings and the platform's instance list.
#pragma once

#include "app/fwd.h"
#include "app/periodic.h"
#include "app/taskpool.h"
#include "membership/view.h"
#include "peer/client.h"
#include "settings/settings.h"
#include "store/storeclient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace cardamomstep {

/// I/O layer of a MembershipView: sends pings, fetches snapshots and polls the instance list; safe for use by many threads.
class MembershipService
{
public:
    /// Called when the set of proxies that may own groups has changed, without the lock held.
    using ChangeHandler = std::function<void()>;
    /// Called with each instance list read from the platform, without the lock held; the list also names leaving endpoints.
    using ListHandler = std::function<void(const std::vector<ListedInstance> &)>;

    MembershipService(const Settings &settings,
                      StoreClient &store,
                      peer::Client &peers,
                      std::uint64_t seed,
                      ChangeHandler changeHandler,
                      ListHandler listHandler);
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    /// Starts to ping proxies and to poll the instance list.
    void start();

    /// Stops; blocks until the calls in progress have finished.
    void stop();

    /// Marks this proxy as leaving, so that it no longer owns groups, and notifies all other proxies at once.
    void leave();

    /// Returns true once this proxy is leaving: after leave(), or if the platform's list says so.
    [[nodiscard]] bool isLeaving() const;

    /// Returns the reply to a ping. A ping with a target is forwarded to it and the target's reply is returned, or one
    /// whose `answered` is false if there is none.
    [[nodiscard]] peer::Ping onPing(const peer::Ping &ping);

    /// Returns the latest update of every known proxy.
    [[nodiscard]] std::vector<SharedUpdate> snapshot() const;

    /// Returns the proxies that may own groups.
    [[nodiscard]] std::shared_ptr<const InstanceSet> owners() const;

    /// Returns all known proxies, this one included.
    [[nodiscard]] std::vector<KnownProxy> proxies() const;

    /// Returns the number of failure domains that the platform lists.
    [[nodiscard]] std::size_t listedDomains() const;

    /// Sets the configuration revision that pings report.
    void setConfigurationRevision(Revision revision);

private:
    [[nodiscard]] Milliseconds tick();
    [[nodiscard]] Milliseconds pollInstances();
    void perform(const MembershipActions &actions);
    void sendPing(PingId id, const Address &to, const peer::Ping &ping, bool direct);
    void finishInput(std::unique_lock<std::mutex> &lock);

    StoreClient &store_;
    peer::Client &peers_;
    ChangeHandler changeHandler_;
    ListHandler listHandler_;
    mutable std::mutex mutex_;
    /// Guarded by mutex_, like generation_ and owners_.
    MembershipView view_;
    /// The generation of view_ that owners_ was taken from.
    std::uint64_t generation_ = 0;
    std::shared_ptr<const InstanceSet> owners_ = std::make_shared<const InstanceSet>();
    // Declared last, so that they are destroyed first: their threads use the members above.
    std::unique_ptr<TaskPool> tasks_;
    std::unique_ptr<Periodic> ticker_;
    std::unique_ptr<Periodic> poller_;
};

} // namespace cardamomstep
