// State shared by the parts of a process' leadership service: settings, the store, the lease and the primary table.
#pragma once

#include "fleet/client.h"
#include "gateway/catalogrelay.h"
#include "gateway/servingset.h"
#include "gateway/storewatcher.h"
#include "leadership/fleetlease.h"
#include "leadership/grantepoch.h"
#include "leadership/primarytable.h"
#include "leadership/recordrecovery.h"
#include "leadership/renewaltree.h"
#include "logging/log.h"
#include "relay/engine.h"
#include "settings/sessionsettings.h"
#include "store/storecalls.h"
#include "store/storeepochs.h"
#include "store/watchresume.h"

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace cardamomstep::gateway {

/// Limits of a LeadershipService.
struct LeadershipLimits {
    Milliseconds tickInterval{50};
    /// Time between two renewals of this proxy's primary table.
    Milliseconds renewInterval{150};
    /// The same for a proxy at which others renew, and in a region without the lease holder. With a tick of 50 ms and 30 ms between
    /// regions, a table that came over three proxies is then at most 362 ms old when the third one grants it, below the limit of 525 ms.
    Milliseconds shortRenewInterval{100};
    Milliseconds renewTimeout{250};
    /// Age of this proxy's primary table from which it is renewed from the store: `readerRenewAfter` on the proxies that read the store
    /// for others, `storeRenewAfter` on the rest.
    Milliseconds readerRenewAfter{350};
    Milliseconds storeRenewAfter{1200};
    Milliseconds storeRenewInterval{250};
    /// The stored lease is read after this time without a report of a valid lease.
    Milliseconds leaseReadAfter{600};
    Milliseconds leaseReadInterval{400};
    /// A proxy that does not read the store for others reads the lease at random, on average once in this many read intervals.
    unsigned leaseReadOdds{8};
    Milliseconds storeTimeout{900};
    /// A store that did not reply for this long counts as unreachable from this process.
    Milliseconds storeSilenceTimeout{2400};
    Milliseconds announceTimeout{600};
    Milliseconds promoteTimeout{1000};
    /// A primary without replies for this long is probed.
    Milliseconds probeAfter{150};
    /// Longest time between two queries to a primary whether it leads.
    Milliseconds probeInterval{1000};
    Milliseconds controlTimeout{400};
    /// Uptime from which this process watches the store on behalf of others; below the 1.5 s without renewals after which it would watch
    /// anyway.
    Milliseconds watchForOthersAfter{1000};
    /// Uptime from which this process starts primary changes: before, members may be missing whose entries expired in a store outage.
    Milliseconds membersSettleTime{2500};
    /// Time between two ticks from which this process counts as having been paused.
    Milliseconds processPauseThreshold{500};
    WatchResumeOptions watch{Milliseconds{25'000}, BackoffOptions{Milliseconds{100}, Milliseconds{1000}}};
    /// Delay before the next watch after changes of the fleet's objects; urgent changes are announced by the lease holder.
    Milliseconds watchSettleDelay{400};
};

/// Services that a LeadershipService uses of its process.
struct LeadershipHost {
    relay::Engine &engine;
    const relay::MemberDirectory &directory;
    std::function<void(LogLevel level, std::string_view event, const std::vector<LogField> &fields)> log;
    /// Performs the engine's pending actions.
    std::function<void()> perform;
    /// The registered proxies changed.
    std::function<void()> proxiesChanged;
    /// Returns the proxies that serve a customer.
    std::function<ServingProxies(const CustomerName &customer)> servingProxies;
    /// An entry of \a dependency cannot be read.
    std::function<void(std::string_view dependency)> entryUnreadable;
};

/// Shared by the parts of one LeadershipService, which all run on one event loop; outlives them.
template<typename Store>
struct LeadershipContext {
    boost::asio::io_context &loop;
    SessionSettings settings;
    LeadershipHost host;
    LeadershipLimits limits;
    std::shared_ptr<StoreEpochs> epochs;
    std::shared_ptr<StoreCalls> calls;
    CatalogRelay<StoreWatcher<Store>> &catalogRelay;
    Store store;
    /// A second client of the same store, for reads that must not wait behind a write to `store`.
    Store readStore;
    Random random;
    leadership::FleetLease lease;
    leadership::PrimaryTable primaryTable;
    leadership::RecordRecovery recordRecovery;
    leadership::GrantEpoch grantEpoch;
    leadership::RenewalTree renewalTree;
    fleet::FleetClient client;
    TimePoint startedAt;
    /// Time of the store's last reply to this process.
    TimePoint lastStoreReplyAt;
    /// Applies a listing of all objects of the fleet.
    std::function<void(const StoreListing &listing, TimePoint now)> applyListing;
    /// Applies one object of the fleet.
    std::function<void(const StoredObject &object, TimePoint now)> applyObject;
    /// Passes the state of the primary table to the engine.
    std::function<void(TimePoint now)> primaryTableChanged;
};

} // namespace cardamomstep::gateway
