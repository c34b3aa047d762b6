// Keeps the configuration of this process in step with the store and with other proxies.
#pragma once

#include "app/fwd.h"
#include "app/periodic.h"
#include "app/taskpool.h"
#include "configuration/gossip.h"
#include "peer/client.h"
#include "records/catalog.h"
#include "store/storeclient.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace cardamomstep {

/// Performs the exchanges of a ConfigurationSpread; safe for use by many threads.
class ConfigurationService
{
public:
    /// Told after each change, without the lock held.
    using Changed = std::function<void()>;

    ConfigurationService(const LiveInstance &self, StoreClient &store, peer::Client &peers, std::uint64_t seed, Changed changed);
    ConfigurationService(const ConfigurationService &) = delete;
    ConfigurationService &operator=(const ConfigurationService &) = delete;

    /// Begins to follow the store and the peers.
    void start();

    /// Stops after the calls in progress.
    void stop();

    /// Takes in the live proxies and the number of failure domains that the platform lists.
    void setInstances(std::shared_ptr<const InstanceSet> live, std::size_t listedDomains);

    /// Answers a peer.
    [[nodiscard]] SpreadMessage onRequest(const SpreadMessage &request);

    /// Takes in a change that the store confirmed to this proxy as its own, and pushes it on.
    void onAccepted(const StoredObject &change);

    /// The records in force.
    [[nodiscard]] std::shared_ptr<const Catalog> catalog() const;

    /// What this proxy can know about its configuration.
    [[nodiscard]] CurrencyState currency() const;

    /// True when this proxy may write changes to the store.
    [[nodiscard]] bool mayAccept() const;

    /// Revision up to which the configuration is complete.
    [[nodiscard]] Revision revision() const;

    /// Blocks until the configuration is complete up to \a revision, at most for \a wait.
    void awaitRevision(Revision revision, Milliseconds wait);

private:
    [[nodiscard]] Milliseconds tick();
    [[nodiscard]] Milliseconds followStore();
    void list();
    void watch(const WatchAfter &step);
    void perform(const SpreadActions &actions);
    void send(const SendExchange &exchange);
    void take(const std::vector<StoredObject> &objects);
    void finishInput(std::unique_lock<std::mutex> &lock, const SpreadActions &actions);

    StoreClient &store_;
    peer::Client &peers_;
    Changed changed_;
    mutable std::mutex mutex_;
    std::condition_variable advanced_;
    /// All guarded by mutex_.
    ConfigurationSpread spread_;
    std::shared_ptr<const Catalog> catalog_ = Catalog::empty();
    // Stopped first.
    std::unique_ptr<TaskPool> tasks_;
    std::unique_ptr<Periodic> ticker_;
    std::unique_ptr<Periodic> follower_;
};

} // namespace cardamomstep
