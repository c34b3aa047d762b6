// What this process knows of the configuration and of the other proxies, as snapshots for the data path.
#pragma once

#include "app/fwd.h"
#include "configuration/state.h"
#include "entry/dispatcher.h"
#include "membership/rendezvous.h"
#include "platform/object.h"
#include "records/catalog.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace cardamomstep {

/// The known configuration and fleet; safe for use by many threads.
class Fleet
{
public:
    /// Told after each change, without the lock held.
    using Changed = std::function<void()>;

    explicit Fleet(Changed changed);

    /// Takes in a listing of the store.
    void onListing(const StoreListing &listing);

    /// Takes in the store's answer to a watch.
    void onChanges(const StoreChanges &changes);

    /// Takes in what a peer handed over; returns the changes that were new here.
    std::vector<StoredObject> onDelta(const ConfigurationDelta &delta);

    /// Takes in the proxies that live.
    void setInstances(std::vector<LiveInstance> instances);

    /// What the dispatcher needs.
    [[nodiscard]] entry::FleetView view() const;

    /// What peers compare.
    [[nodiscard]] ConfigurationDigest digest() const;

    /// What a peer with the digest \a peer lacks.
    [[nodiscard]] ConfigurationDelta deltaFor(const ConfigurationDigest &peer) const;

    /// Objects of a kind, sorted by name.
    [[nodiscard]] std::vector<StoredObject> ofKind(const ObjectKind &kind) const;

private:
    void take(const std::vector<StoredObject> &changes);

    Changed changed_;
    mutable std::mutex mutex_;
    /// All guarded by mutex_.
    ConfigurationState state_;
    std::shared_ptr<const Catalog> catalog_ = Catalog::empty();
    std::shared_ptr<const InstanceSet> instances_ = std::make_shared<const InstanceSet>();
};

} // namespace cardamomstep
