// Propagates the configuration from the store to all proxies: who watches, what is pushed, what is compared and when.
//
// Performs no I/O: the I/O layer sends exchanges, calls the store and passes the results back, with the time.
#pragma once

#include "base/random.h"
#include "configuration/configurationfreshness.h"
#include "configuration/exchangetimeouts.h"
#include "configuration/state.h"
#include "membership/rendezvous.h"
#include "store/watchresume.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace cardamomstep {

/// A confirmation by the store, `age` ago, that it held nothing newer than `revision`.
struct StoreConfirmation {
    Revision revision;
    Milliseconds age{0};

    [[nodiscard]] bool operator==(const StoreConfirmation &) const = default;
};

/// A message between two proxies, used as request and as reply.
struct GossipMessage {
    InstanceName from;
    FailureDomain domain;
    ConfigurationDigest digest;
    /// Changes that the receiver lacks.
    std::optional<ConfigurationDelta> delta;
    /// Set, like `domainAges`, only in replies to comparisons: a request may have waited in a buffer for any time.
    std::optional<StoreConfirmation> confirmation;
    std::vector<DomainAge> domainAges;

    [[nodiscard]] bool operator==(const GossipMessage &) const = default;
};

/// Identifies an exchange that this proxy started.
enum class ExchangeId : std::uint64_t {};

/// Send the message and pass the reply to onReply(), or the failure to onExchangeFailed().
struct SendExchange {
    ExchangeId id;
    LiveInstance to;
    GossipMessage message;
    /// Time for the reply.
    Milliseconds timeout{0};
};

/// These changes are in force here from now on.
struct ObjectsChanged {
    /// Empty when only `complete` has risen, for example after a change that arrived by a push first and by the watch later.
    std::vector<StoredObject> objects;
    /// All changes up to this revision are in force.
    Revision complete;
};

using GossipAction = std::variant<SendExchange, ObjectsChanged>;
using GossipActions = std::vector<GossipAction>;

/// The reply to a peer's request, and further actions to perform.
struct GossipResponse {
    GossipMessage reply;
    GossipActions actions;
};

/// Options of a ConfigurationGossip.
struct GossipOptions {
    InstanceName self;
    FailureDomain domain;
    /// Time between two comparisons. A comparison exchanges digests with a peer, so that both learn which changes one of them lacks.
    Milliseconds comparisonInterval{1000};
    /// The number of proxies of each failure domain that watch the store.
    std::size_t watchersPerDomain = 6;
    /// The number of peers of the own failure domain that a new change is pushed to.
    std::size_t pushFanOut = 3;
    /// Size of the largest delta that is pushed without a request.
    std::size_t maxPushBytes = std::size_t{64} << 10U;
    /// The maximum number of exchanges under way; further ones are skipped.
    std::size_t maxExchanges = 64;
    /// Time for the reply of a peer, and the longest after failures while this proxy has no configuration.
    Milliseconds exchangeTimeout{500};
    Milliseconds maxExchangeTimeout{8000};
    /// Age of the newest confirmation from which a proxy that is not a watcher queries the store itself.
    Milliseconds queryStoreAfter{5000};
    ConfigurationFreshnessOptions freshness;
    WatchResumeOptions watch;
    ConfigurationLimits limits;
    std::uint64_t seed = 1;
};

/// One proxy's participation in the gossip of the configuration.
///
/// In each failure domain a few proxies, chosen by rendezvous hashing, watch the store. Some more are intermediates: they compare with
/// a watcher, and all others compare with an intermediate; the watchers compare with watchers of other failure domains. New changes are
/// pushed at once to random peers of the own failure domain. A proxy that received them from the store also pushes them to a watcher of
/// one other failure domain, and its own writes to a watcher of each.
class ConfigurationGossip
{
public:
    explicit ConfigurationGossip(GossipOptions options);

    /// Sets the live proxies, including this one, and the number of failure domains that the platform lists, including dead ones.
    void setInstances(std::shared_ptr<const InstanceSet> live, std::size_t listedDomains);

    /// Starts a comparison when it is due. Call it at least every quarter of `comparisonInterval`.
    [[nodiscard]] GossipActions tick(TimePoint now);

    /// Handles a peer's request and returns the reply to it.
    [[nodiscard]] GossipResponse onRequest(const GossipMessage &request, TimePoint now);
    /// Handles a peer's reply.
    [[nodiscard]] GossipActions onReply(ExchangeId id, const GossipMessage &reply, TimePoint now);
    /// Handles the failure of an exchange.
    void onExchangeFailed(ExchangeId id);

    /// Returns the next call to the store. Call it again when that call has ended or its delay is over.
    [[nodiscard]] StoreStep nextStoreStep(TimePoint now);
    /// Applies a listing of all kinds that was requested at \a calledAt.
    [[nodiscard]] GossipActions onListing(const StoreListing &listing, TimePoint calledAt, TimePoint now);
    /// Applies the reply to a watch that was started at \a calledAt.
    [[nodiscard]] GossipActions onChanges(const StoreChanges &changes, TimePoint calledAt, TimePoint now);
    /// Records the failure of a call to the store.
    void onStoreFailure(TimePoint now);

    /// Applies a change that the store confirmed as this proxy's own write, and pushes it to all failure domains.
    [[nodiscard]] GossipActions onAccepted(const StoredObject &change, TimePoint now);

    /// Returns how current the configuration is known to be; decides /ready and whether work is accepted.
    [[nodiscard]] ConfigurationFreshnessState configurationFreshness(TimePoint now) const
    {
        return freshness_.state(now);
    }

    /// Returns true when this proxy may write changes to the store: it is current and has contact with a majority of the failure domains.
    [[nodiscard]] bool mayAcceptChanges(TimePoint now) const
    {
        return freshness_.state(now) == ConfigurationFreshnessState::Current && freshness_.hasMajorityContact(now);
    }

    /// Returns the number of failure domains, including this one, in which some proxy is known to hold the change of \a revision or all
    /// changes up to it.
    [[nodiscard]] std::size_t domainsWithRevision(Revision revision) const;

    /// Returns true when this proxy is one of those that watch the store for its failure domain.
    [[nodiscard]] bool isWatcher() const noexcept
    {
        return isWatcher_;
    }

    /// Returns the configuration known here.
    [[nodiscard]] const ConfigurationState &state() const noexcept
    {
        return state_;
    }

    /// The number of times that a peer with the same revisions held different objects, which no sequence of events should cause.
    [[nodiscard]] std::uint64_t divergences() const noexcept
    {
        return divergences_;
    }

private:
    struct Exchange {
        InstanceName to;
        FailureDomain domain;
        Address address;
        TimePoint sentAt;
        /// Revision of the newest change in the request; 0 for none.
        Revision pushedRevision;
    };
    using Peers = std::vector<const LiveInstance *>;

    [[nodiscard]] GossipMessage message() const;
    [[nodiscard]] GossipMessage replyTo(const ConfigurationDigest &peer, TimePoint now) const;
    /// Returns true when this proxy knows changes that the peer with the digest \a peer may lack.
    [[nodiscard]] bool isPeerBehind(const ConfigurationDigest &peer) const noexcept;
    [[nodiscard]] bool isLiveDomain(const FailureDomain &domain) const;
    [[nodiscard]] const LiveInstance *chooseComparisonPeer();
    [[nodiscard]] const LiveInstance *randomPeer(const Peers &peers);
    void send(const LiveInstance &peer, std::optional<ConfigurationDelta> delta, TimePoint now, GossipActions &actions);
    /// Adds the actions after \a applied came into force here: ObjectsChanged, and a push to local peers; \a before is the digest before.
    void publish(std::vector<StoredObject> applied, const ConfigurationDigest &before, TimePoint now, GossipActions &actions);
    void push(const ConfigurationDigest &before, TimePoint now, GossipActions &actions);
    void pushToOtherDomains(const ConfigurationDigest &before, std::size_t domains, TimePoint now, GossipActions &actions);
    /// Records the confirmation and the contacts in a reply to the request that was sent at \a sentAt.
    void recordContacts(const GossipMessage &reply, TimePoint sentAt);
    void recordDomainRevision(const FailureDomain &domain, Revision revision);
    /// Returns the changes since \a before; nothing when they are too large to push or need the full state.
    [[nodiscard]] std::optional<ConfigurationDelta> pushableDelta(const ConfigurationDigest &before) const;
    [[nodiscard]] WatchResume &activeWatch() noexcept
    {
        return isWatcher_ ? watch_ : query_;
    }

    GossipOptions options_;
    Random random_;
    ConfigurationState state_;
    ConfigurationFreshness freshness_;
    /// Used by watchers.
    WatchResume watch_;
    /// Used by other proxies that query the store: no waiting for changes, long delays.
    WatchResume query_;
    std::shared_ptr<const InstanceSet> live_ = std::make_shared<InstanceSet>();
    /// Other proxies of the own failure domain, and the watchers and the intermediates among them. They point into live_.
    Peers localPeers_;
    Peers watchers_;
    Peers intermediates_;
    /// The watchers of each other failure domain.
    std::vector<Peers> remoteWatchers_;
    /// The failure domains that have a live proxy, sorted.
    std::vector<FailureDomain> domains_;
    bool isWatcher_ = false;
    bool isIntermediate_ = false;
    /// Invariant: at most `options_.maxExchanges` entries.
    std::map<ExchangeId, Exchange> exchanges_;
    ExchangeTimeouts exchangeTimeouts_{options_.exchangeTimeout, options_.maxExchangeTimeout};
    std::uint64_t lastExchangeId_ = 0;
    std::optional<TimePoint> nextComparisonAt_;
    /// Time from which this proxy queries the store without being a watcher; nothing while its confirmation is recent.
    std::optional<TimePoint> queryAt_;
    /// Newest revision known to be held in each other failure domain. Invariant: keys are in domains_.
    std::map<FailureDomain, Revision> domainRevisions_;
    std::uint64_t divergences_ = 0;
};

} // namespace cardamomstep
