// Keeps track of the other proxies by pings and by the platform's instance list.
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

/// Performs the pings of a MembershipView; safe for use by many threads.
class MembershipService
{
public:
    /// Told when the proxies that may own groups have changed, without the lock held.
    using Changed = std::function<void()>;
    /// Told of each instance list, without the lock held; for leaving endpoints.
    using Listed = std::function<void(const std::vector<ListedInstance> &)>;

    MembershipService(
        const Settings &settings, StoreClient &store, peer::Client &peers, std::uint64_t seed, Changed changed, Listed listed);
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    /// Begins to ping and to read the instance list.
    void start();

    /// Stops after the calls in progress.
    void stop();

    /// Tells the others that this proxy takes no more work.
    void leave();

    /// True once this proxy is leaving, also by the platform's list.
    [[nodiscard]] bool isLeaving() const;

    /// Answers a ping; one for another target is passed on.
    [[nodiscard]] peer::Ping onPing(const peer::Ping &ping);

    /// All news known here.
    [[nodiscard]] std::vector<SharedUpdate> snapshot() const;

    /// The proxies that may own groups.
    [[nodiscard]] std::shared_ptr<const InstanceSet> owners() const;

    /// All proxies known, this one included.
    [[nodiscard]] std::vector<KnownProxy> proxies() const;

    /// Number of failure domains that the platform lists.
    [[nodiscard]] std::size_t listedDomains() const;

    /// Sets the configuration revision that pings tell of.
    void setConfigurationRevision(Revision revision);

private:
    [[nodiscard]] Milliseconds tick();
    [[nodiscard]] Milliseconds pollInstances();
    void perform(const MembershipActions &actions);
    void sendPing(PingId id, const Address &to, const peer::Ping &ping, bool direct);
    void finishInput(std::unique_lock<std::mutex> &lock);

    StoreClient &store_;
    peer::Client &peers_;
    Changed changed_;
    Listed listed_;
    mutable std::mutex mutex_;
    /// All guarded by mutex_.
    MembershipView view_;
    std::uint64_t generation_ = 0;
    std::shared_ptr<const InstanceSet> owners_ = std::make_shared<const InstanceSet>();
    // Stopped first.
    std::unique_ptr<TaskPool> tasks_;
    std::unique_ptr<Periodic> ticker_;
    std::unique_ptr<Periodic> poller_;
};

} // namespace cardamomstep
