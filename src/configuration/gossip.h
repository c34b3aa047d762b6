// Spreads the configuration between store and proxies: who watches, what is pushed, what is compared and when.
//
// Pure: the shell sends exchanges, calls the store and passes results back, with the time.
#pragma once

#include "base/random.h"
#include "configuration/configurationfreshness.h"
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

/// That the store held nothing newer than `revision` some time ago.
struct StoreConfirmation {
    Revision revision;
    Milliseconds age{0};

    [[nodiscard]] bool operator==(const StoreConfirmation &) const = default;
};

/// One message between two proxies, as request and as reply.
struct SpreadMessage {
    InstanceName from;
    FailureDomain domain;
    ConfigurationDigest digest;
    /// What the receiver lacks.
    std::optional<ConfigurationDelta> delta;
    /// Set, like `heard`, only in replies to comparisons: a request may have waited in a buffer for any time.
    std::optional<StoreConfirmation> confirmation;
    std::vector<DomainAge> heard;

    [[nodiscard]] bool operator==(const SpreadMessage &) const = default;
};

/// Numbers an exchange that this proxy began.
enum class ExchangeId : std::uint64_t {};

/// Send the message and pass the reply to onReply(), or the failure to onExchangeFailed().
struct SendExchange {
    ExchangeId id;
    LiveInstance to;
    SpreadMessage message;
};

/// These changes are in force here from now on.
struct ObjectsChanged {
    /// Empty when only `complete` has risen, as after a change that came by a push first and by the watch later.
    std::vector<StoredObject> objects;
    /// Everything up to here is in force.
    Revision complete;
};

using SpreadAction = std::variant<SendExchange, ObjectsChanged>;
using SpreadActions = std::vector<SpreadAction>;

/// The reply to a peer's request, and what else is to be done.
struct SpreadHandled {
    SpreadMessage reply;
    SpreadActions actions;
};

/// Limits of a ConfigurationSpread.
struct SpreadOptions {
    InstanceName self;
    FailureDomain domain;
    /// Time between two comparisons with a peer.
    Milliseconds period{1000};
    /// Proxies of each failure domain that watch the store.
    std::size_t watchers = 6;
    /// Peers of the own failure domain that a new change is pushed to.
    std::size_t fanOut = 3;
    /// Largest delta that is pushed unasked.
    std::size_t pushBytes = std::size_t{64} << 10U;
    /// Exchanges under way at most; further ones are left out.
    std::size_t exchanges = 64;
    /// Age of the newest confirmation from which a proxy that does not watch asks the store itself.
    Milliseconds askStoreAfter{5000};
    CurrencyOptions currency;
    WatchResumeOptions watch;
    ConfigurationLimits limits;
    std::uint64_t seed = 1;
};

/// One proxy's part in spreading the configuration.
///
/// In each failure domain a few proxies (by rendezvous hashing) watch the store, some more relay: they compare with a watcher,
/// and the others compare with a relay. New changes are pushed on at once to random peers of the own failure domain, and to one
/// watcher of other domains by the proxy that had them from the store.
class ConfigurationSpread
{
public:
    explicit ConfigurationSpread(SpreadOptions options);

    /// Sets the live proxies (this one included) and the number of failure domains that the platform lists, dead ones included.
    void setInstances(std::shared_ptr<const InstanceSet> live, std::size_t listedDomains);

    /// Begins what is due; call it at least every quarter of a period.
    [[nodiscard]] SpreadActions tick(TimePoint now);

    /// Answers a peer.
    [[nodiscard]] SpreadHandled onRequest(const SpreadMessage &request, TimePoint now);
    /// Takes a peer's answer.
    [[nodiscard]] SpreadActions onReply(ExchangeId id, const SpreadMessage &reply, TimePoint now);
    /// Takes the failure of an exchange.
    void onExchangeFailed(ExchangeId id);

    /// The next call to the store; to be asked again when it is done or its pause is over.
    [[nodiscard]] StoreStep nextStoreStep(TimePoint now);
    /// Takes a listing of all kinds that was asked for at \a calledAt.
    [[nodiscard]] SpreadActions onListing(const StoreListing &listing, TimePoint calledAt, TimePoint now);
    /// Takes the answer to a watch that was begun at \a calledAt.
    [[nodiscard]] SpreadActions onChanges(const StoreChanges &changes, TimePoint calledAt, TimePoint now);
    /// Takes the failure of a call to the store.
    void onStoreFailure(TimePoint now);

    /// Takes a change that the store confirmed to this proxy as its own write, and pushes it to all failure domains.
    [[nodiscard]] SpreadActions onAccepted(const StoredObject &change, TimePoint now);

    /// What this proxy can know about its configuration; decides /ready and whether work is taken.
    [[nodiscard]] CurrencyState currency(TimePoint now) const
    {
        return currency_.state(now);
    }

    /// True when this proxy may write changes to the store: it is current and hears a majority of the failure domains.
    [[nodiscard]] bool mayAccept(TimePoint now) const
    {
        return currency_.state(now) == CurrencyState::Current && currency_.hearsMajority(now);
    }

    /// Failure domains, this one included, in which some proxy is known to hold all up to \a revision or the change of \a revision.
    [[nodiscard]] std::size_t domainsHolding(Revision revision) const;

    /// True when this proxy is one of those that watch the store for its failure domain.
    [[nodiscard]] bool isWatcher() const noexcept
    {
        return isWatcher_;
    }

    /// The configuration known here.
    [[nodiscard]] const ConfigurationState &state() const noexcept
    {
        return state_;
    }

    /// Times that a peer with the same revisions held other objects, which no sequence of events should bring about.
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
        /// Newest change that the request carried.
        Revision pushed;
    };
    using Peers = std::vector<const LiveInstance *>;

    [[nodiscard]] SpreadMessage message() const;
    [[nodiscard]] SpreadMessage replyTo(const ConfigurationDigest &peer, TimePoint now) const;
    [[nodiscard]] bool lacks(const ConfigurationDigest &peer) const noexcept;
    [[nodiscard]] bool isKnown(const FailureDomain &domain) const;
    [[nodiscard]] const LiveInstance *comparePeer();
    [[nodiscard]] const LiveInstance *randomOf(const Peers &peers);
    void send(const LiveInstance &peer, std::optional<ConfigurationDelta> delta, TimePoint now, SpreadActions &actions);
    void publish(std::vector<StoredObject> applied, const ConfigurationDigest &before, TimePoint now, SpreadActions &actions);
    void push(const ConfigurationDigest &before, TimePoint now, SpreadActions &actions);
    void pushAbroad(const ConfigurationDigest &before, std::size_t domains, TimePoint now, SpreadActions &actions);
    void takeFromReply(const SpreadMessage &reply, TimePoint sentAt);
    void noteHolding(const FailureDomain &domain, Revision revision);
    [[nodiscard]] std::optional<ConfigurationDelta> pushable(const ConfigurationDigest &before) const;
    [[nodiscard]] WatchResume &following() noexcept
    {
        return isWatcher_ ? watch_ : ask_;
    }

    SpreadOptions options_;
    Random random_;
    ConfigurationState state_;
    Currency currency_;
    /// For watchers.
    WatchResume watch_;
    /// For others that ask the store themselves: no waiting, long pauses.
    WatchResume ask_;
    std::shared_ptr<const InstanceSet> live_ = std::make_shared<InstanceSet>();
    /// Other proxies of the own failure domain, and those among them that watch and relay. They point into live_.
    Peers home_;
    Peers watchers_;
    Peers relays_;
    /// The watchers of each other failure domain.
    std::vector<Peers> abroad_;
    /// Sorted.
    std::vector<FailureDomain> domains_;
    bool isWatcher_ = false;
    bool isRelay_ = false;
    /// Invariant: at most `options_.exchanges` entries.
    std::map<ExchangeId, Exchange> exchanges_;
    std::uint64_t lastExchange_ = 0;
    std::optional<TimePoint> nextCompare_;
    std::optional<TimePoint> askAt_;
    /// Newest revision known to be held in each other failure domain. Invariant: keys are in domains_.
    std::map<FailureDomain, Revision> held_;
    std::uint64_t divergences_ = 0;
};

} // namespace cardamomstep
