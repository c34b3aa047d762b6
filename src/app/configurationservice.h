// Synchronizes the configuration of this process with the store and with other proxies.
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

/// I/O layer of a ConfigurationGossip: exchanges messages with peers and reads the store; safe for use by many threads.
class ConfigurationService
{
public:
    /// Called after each change of the catalog, without the lock held.
    using ChangeHandler = std::function<void()>;

    ConfigurationService(
        const LiveInstance &self, StoreClient &store, peer::Client &peers, std::uint64_t seed, ChangeHandler changeHandler);
    ConfigurationService(const ConfigurationService &) = delete;
    ConfigurationService &operator=(const ConfigurationService &) = delete;

    /// Starts to synchronize with the store and the peers.
    void start();

    /// Stops; blocks until the calls in progress have finished.
    void stop();

    /// Sets the live proxies and the number of failure domains that the platform lists.
    void setInstances(std::shared_ptr<const InstanceSet> live, std::size_t listedDomains);

    /// Applies a peer's gossip message and returns the reply.
    [[nodiscard]] GossipMessage onRequest(const GossipMessage &request);

    /// Applies a change that the store accepted from this proxy, and pushes it to peers.
    void onWriteAccepted(const StoredObject &change);

    /// Returns the records in force.
    [[nodiscard]] std::shared_ptr<const Catalog> catalog() const;

    /// Returns how current this proxy's configuration is known to be.
    [[nodiscard]] ConfigurationFreshnessState configurationFreshness() const;

    /// Returns true if this proxy may write changes to the store: its configuration is current and it has contact with a majority
    /// of the failure domains.
    [[nodiscard]] bool mayWriteToStore() const;

    /// Returns the revision up to which the configuration is complete.
    [[nodiscard]] Revision revision() const;

    /// Blocks until the configuration is complete up to \a revision, or until \a wait has passed.
    void awaitRevision(Revision revision, Milliseconds wait);

private:
    [[nodiscard]] Milliseconds tick();
    [[nodiscard]] Milliseconds syncWithStore();
    void list();
    void watch(const WatchAfter &step);
    void perform(const GossipActions &actions);
    void send(const SendExchange &exchange);
    void applyObjects(const std::vector<StoredObject> &objects);
    void finishInput(std::unique_lock<std::mutex> &lock, const GossipActions &actions);

    StoreClient &store_;
    peer::Client &peers_;
    ChangeHandler changeHandler_;
    mutable std::mutex mutex_;
    std::condition_variable revisionAdvanced_;
    /// Guarded by mutex_, like catalog_.
    ConfigurationGossip gossip_;
    std::shared_ptr<const Catalog> catalog_ = Catalog::empty();
    // Declared last, so that they are destroyed first: their threads use the members above.
    std::unique_ptr<TaskPool> tasks_;
    std::unique_ptr<Periodic> ticker_;
    std::unique_ptr<Periodic> storeWatcher_;
};

} // namespace cardamomstep
