// What the parts of a process' leadership share: settings, the store, and what is believed of the lease and of primaries.
#pragma once

#include "fleet/client.h"
#include "leadership/fleetlease.h"
#include "leadership/primarytable.h"
#include "leadership/renewaltree.h"
#include "logging/log.h"
#include "relay/engine.h"
#include "settings/sessionsettings.h"
#include "store/watchresume.h"

#include <boost/asio.hpp>

#include <functional>
#include <string_view>
#include <vector>

namespace cardamomstep::gateway {

/// Bounds of the leadership shell.
struct LeaderShellLimits {
    Milliseconds tick{50};
    /// Time between two renewals of this proxy's view.
    Milliseconds renewInterval{150};
    Milliseconds renewTimeout{250};
    /// A view that was not renewed for this long is renewed from the store, by those that read it for others and by the rest.
    Milliseconds readerRenewAfter{350};
    Milliseconds storeRenewAfter{1200};
    Milliseconds storeRenewInterval{250};
    /// Without word of a holder for this long, the stored lease is read.
    Milliseconds leaseReadAfter{600};
    Milliseconds leaseReadInterval{400};
    /// As much time again passes on average before a proxy that reads nothing for others reads the lease.
    unsigned leaseReadOdds{8};
    Milliseconds storeTimeout{900};
    /// A store that did not answer for this long is out of this process' reach.
    Milliseconds storeSilence{2400};
    Milliseconds announceTimeout{600};
    Milliseconds promoteTimeout{1000};
    /// A primary that was not heard of for this long is probed.
    Milliseconds probeAfter{150};
    /// Each primary is asked at least this often whether it leads.
    Milliseconds probeInterval{1000};
    Milliseconds controlPatience{400};
    /// A process that started more recently may lack members whose entries lapsed in an outage of the store.
    Milliseconds membersSettle{2500};
    /// A tick that comes this late means that this process stood still.
    Milliseconds standstill{500};
    WatchResumeOptions watch{Milliseconds{25'000}, BackoffOptions{Milliseconds{100}, Milliseconds{1000}}};
    /// Pause after news of the fleet's objects; what is urgent is announced by the holder.
    Milliseconds watchSettle{400};
};

/// What the shell needs of its process.
struct LeaderHost {
    relay::Engine &engine;
    const relay::MemberDirectory &directory;
    std::function<void(LogLevel level, std::string_view event, const std::vector<LogField> &fields)> log;
    /// Carries out what the engine asks for.
    std::function<void()> perform;
    /// The registered proxies changed.
    std::function<void()> proxiesChanged;
    /// How new a catalog this process knows or was told of.
    std::function<CatalogMarks()> marks;
    /// Another process told how new a catalog it knows.
    std::function<void(const CatalogMarks &marks)> marksHeard;
};

/// Shared by the parts of one process' leadership, which all run on one event loop; outlives them.
template<typename Store>
struct LeaderContext {
    boost::asio::io_context &loop;
    SessionSettings settings;
    LeaderHost host;
    LeaderShellLimits limits;
    Store store;
    /// Reads that must not wait behind a write.
    Store renewStore;
    Random random;
    leadership::HolderLease lease;
    leadership::ViewBook views;
    leadership::ViewTree tree;
    fleet::FleetClient client;
    TimePoint startedAt;
    /// Last answer of the store to this process.
    TimePoint storeAnsweredAt;
    /// Takes in all objects of the fleet.
    std::function<void(const StoreListing &listing, TimePoint now)> takeListing;
    /// Takes in one object of the fleet.
    std::function<void(const StoredObject &object, TimePoint now)> takeObject;
    /// Tells the engine what is believed of primaries now.
    std::function<void(TimePoint now)> viewsChanged;
};

} // namespace cardamomstep::gateway
