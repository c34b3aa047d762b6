// Which proxies are alive, by the SWIM protocol: each pings another one per period; pings and their replies carry the updates.
//
// Does no I/O: the I/O layer sends the returned messages and passes in the received ones with the current time.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "membership/rendezvous.h"
#include "store/object.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace cardamomstep {

/// State of a proxy. Within one incarnation, an update with a later state in this order replaces one with an earlier state.
enum class ProxyState : std::uint8_t {
    Alive,
    Suspect, ///< It did not reply to a ping; it owns its groups until it counts as dead.
    Leaving, ///< It accepts no new work and owns nothing, but still replies.
    Dead,
};

/// A schema form of a kind of record that a proxy can read, for example {"group", 2}.
struct SchemaForm {
    ObjectKind kind;
    std::uint32_t version = 0;

    [[nodiscard]] auto operator<=>(const SchemaForm &) const = default;
    [[nodiscard]] bool operator==(const SchemaForm &) const = default;
};

/// Upper limit of the schema forms that a proxy may list.
inline constexpr std::size_t maxSchemaForms = 16;

/// Update about one proxy.
struct MemberUpdate {
    LiveInstance instance;
    /// Increased by the proxy itself: at each start, and to refute a suspicion.
    std::uint64_t incarnation = 0;
    ProxyState state = ProxyState::Alive;
    /// The schema forms that it can read; at most maxSchemaForms.
    std::vector<SchemaForm> forms;

    [[nodiscard]] bool operator==(const MemberUpdate &) const = default;
};

/// Update as it is disseminated: immutable, never null.
using SharedUpdate = std::shared_ptr<const MemberUpdate>;

/// What this proxy knows about another proxy, or about itself.
struct KnownProxy {
    SharedUpdate update;
    /// Revision up to which it is known to have all of the configuration; 0 when nothing is known.
    Revision configuration;
    /// False while it is known only from the platform's list.
    bool contacted = false;
};

/// Identifies a ping within the proxy that sent it.
enum class PingId : std::uint64_t {};

/// Content of pings and their replies.
struct MembershipMessage {
    InstanceName from;
    /// Revision up to which the sender has all of the configuration.
    Revision configuration;
    /// True when the sender has no update by the receiver itself; the reply then contains it.
    bool requestReceiverUpdate = false;
    std::vector<SharedUpdate> updates;
};

/// Ping \a to; pass the reply to onAck(), and nothing if there is none.
struct SendPing {
    PingId id{};
    LiveInstance to;
    MembershipMessage message;
};

/// Request \a via to ping \a target; pass the target's reply that it forwards to onAck(), and nothing if there is none.
struct SendIndirectPing {
    PingId id{};
    LiveInstance via;
    LiveInstance target;
    MembershipMessage message;
};

/// Request the snapshot() of \a from and pass it to onSnapshot().
struct FetchSnapshot {
    LiveInstance from;
};

using MembershipAction = std::variant<SendPing, SendIndirectPing, FetchSnapshot>;
using MembershipActions = std::vector<MembershipAction>;

/// Identity and limits of a MembershipView.
struct MembershipOptions {
    LiveInstance self;
    /// Initial incarnation: the start time in milliseconds since the epoch, so that a restarted process has a higher one.
    std::uint64_t incarnation = 1;
    /// The schema forms that this proxy can read; those beyond maxSchemaForms are dropped.
    std::vector<SchemaForm> forms;
    /// Time between two pings.
    Milliseconds pingPeriod{1000};
    /// Timeout of the direct reply, after which other proxies are requested to ping the target.
    Milliseconds directPingTimeout{300};
    /// Number of proxies that are requested to ping.
    std::size_t indirectPings = 3;
    /// Timeout of any reply, direct or indirect, after which the target is suspected; counts from the direct ping.
    Milliseconds probeTimeout{900};
    /// Time for a suspect to refute before it counts as dead.
    Milliseconds suspicionTimeout{3000};
    /// Upper limit of the rumors in one message.
    std::size_t maxUpdatesPerMessage = 12;
    /// Number of times that each rumor is sent, for each doubling of the fleet's size.
    std::size_t retransmitMultiplier = 2;
    /// Mean interval of fetched snapshots: the larger of a fixed time and a time per known proxy.
    Milliseconds minSnapshotInterval{10'000};
    Milliseconds snapshotIntervalPerProxy{500};
    /// How long a dead proxy is kept, from its death, if the platform's list does not name it.
    Milliseconds deadRetention{60'000};
    /// Upper limit of the tracked proxies.
    std::size_t maxProxies = 20'000;
    std::uint64_t seed = 1;
};

/// One proxy's membership view: the state of all proxies.
///
/// Safety never depends on this view: proxies with different views waste connections, but terms still protect the writes.
class MembershipView
{
public:
    explicit MembershipView(MembershipOptions options);

    /// Applies the platform's instance list; entries of other roles are ignored.
    ///
    /// The list may be outdated. An unknown proxy that it names counts as alive, or leaving, until a ping fails. Of a known proxy it
    /// only changes the state to leaving, or from leaving to dead once it is unlisted, so it undoes no update of a newer incarnation.
    void onListed(const std::vector<ListedInstance> &instances, TimePoint now);

    /// Sends the period's ping and handles timeouts of pings and suspicions; call it at least every 100 ms.
    [[nodiscard]] MembershipActions tick(TimePoint now);

    /// Handles a ping, direct or at another proxy's request, and returns the reply.
    [[nodiscard]] MembershipMessage onPing(const MembershipMessage &ping, TimePoint now);
    /// Handles the reply to a ping.
    void onAck(PingId id, const MembershipMessage &ack, TimePoint now);
    /// Handles a refused connection for the ping \a id: the process is down, so it is suspected without indirect pings.
    void onRefused(PingId id, TimePoint now);

    /// Returns the updates about all known proxies, for a proxy that starts or may have missed updates.
    [[nodiscard]] std::vector<SharedUpdate> snapshot() const;
    /// Applies another proxy's snapshot. Its updates are not disseminated, because every proxy fetches snapshots periodically.
    void onSnapshot(const std::vector<SharedUpdate> &updates, TimePoint now);

    /// Marks this proxy as leaving and disseminates that; it owns nothing from now on.
    void leave(TimePoint now);
    /// True after leave(), or once the platform's list, read by this or another proxy, marks this proxy as leaving.
    [[nodiscard]] bool isLeaving() const;
    /// Sets the configuration revision that messages report.
    void setConfiguration(Revision revision) noexcept
    {
        configuration_ = revision;
    }

    /// Records that \a name has all of the configuration up to \a revision; for revisions learned from messages outside this protocol.
    void recordConfiguration(const InstanceName &name, Revision revision);

    /// The proxies that may own groups: alive or suspect, not leaving. Rebuilt if generation() has increased since the last call.
    [[nodiscard]] std::shared_ptr<const InstanceSet> owners();
    /// Increases whenever owners() changes.
    [[nodiscard]] std::uint64_t generation() const noexcept
    {
        return generation_;
    }

    /// All known proxies, including this one, sorted by name.
    [[nodiscard]] const std::vector<KnownProxy> &proxies() const noexcept
    {
        return proxies_;
    }
    /// The proxy \a name; null when it is not known. Valid until the next call that changes the view.
    [[nodiscard]] const KnownProxy *find(const InstanceName &name) const;

    /// Number of failure domains in the platform's last list or, if that has none, of the known proxies.
    [[nodiscard]] std::size_t listedDomains() const;

    /// Names of proxies, except dead ones, that do not list \a form or whose forms are not known yet.
    [[nodiscard]] std::vector<InstanceName> cannotRead(const SchemaForm &form) const;
    /// Names of proxies, except dead ones, that are not known to have all of the configuration up to \a revision.
    [[nodiscard]] std::vector<InstanceName> behind(Revision revision) const;

private:
    struct Probe {
        InstanceName target;
        TimePoint sentAt;
        bool indirectPingsSent = false;
    };
    /// The rumors, that is, the updates still being disseminated: how often each was sent, by the name of the proxy that it is about.
    using Rumors = std::map<InstanceName, std::size_t>;

    [[nodiscard]] MembershipMessage messageTo(const KnownProxy *receiver);
    [[nodiscard]] std::vector<SharedUpdate> nextRumors();
    [[nodiscard]] std::size_t rumorLimit() const;
    [[nodiscard]] const KnownProxy *nextTarget();
    [[nodiscard]] const KnownProxy *randomNotDead(const InstanceName &except);
    template<typename Predicate>
    [[nodiscard]] const KnownProxy *randomProxy(Predicate isWanted);
    [[nodiscard]] KnownProxy *findMutable(const InstanceName &name);
    [[nodiscard]] bool isListed(const InstanceName &name) const;
    [[nodiscard]] bool isSelf(const InstanceName &name) const
    {
        return name == options_.self.name;
    }
    [[nodiscard]] SharedUpdate ownUpdate() const;
    /// Applies a received update; returns false if it is no newer than the known one or cannot be stored.
    bool applyUpdate(const SharedUpdate &update, TimePoint now);
    void applyMessage(const MembershipMessage &message, TimePoint now);
    void refute(const MemberUpdate &update, TimePoint now);
    /// Replaces the known update of its proxy; returns false if the proxy is unknown and `options_.maxProxies` are tracked already.
    bool set(SharedUpdate update, TimePoint now);
    void disseminate(const InstanceName &name);
    void setState(const KnownProxy &proxy, ProxyState state, TimePoint now);
    void suspect(const InstanceName &name, TimePoint now);
    void ping(TimePoint now, MembershipActions &actions);
    void fetchSnapshot(TimePoint now, MembershipActions &actions);
    void checkProbes(TimePoint now, MembershipActions &actions);
    void sendIndirectPings(PingId id, const Probe &probe, MembershipActions &actions);
    void checkSuspects(TimePoint now);
    void removeExpiredDead(TimePoint now);

    MembershipOptions options_;
    Random random_;
    /// Invariant: sorted by name, names are unique, this proxy is among them, at most `options_.maxProxies`.
    std::vector<KnownProxy> proxies_;
    /// When each suspect will count as dead.
    std::map<InstanceName, TimePoint> suspects_;
    /// Since when each dead proxy has been dead.
    std::map<InstanceName, TimePoint> dead_;
    /// Invariant: names are in proxies_.
    Rumors rumors_;
    /// Invariant: at most the number of pings sent within `probeTimeout`.
    std::map<PingId, Probe> probes_;
    /// Names of the platform's last list, sorted.
    std::vector<InstanceName> listed_;
    /// Failure domains of the platform's last list, sorted, each once.
    std::vector<FailureDomain> listedDomains_;
    std::shared_ptr<const InstanceSet> owners_ = std::make_shared<InstanceSet>();
    std::uint64_t generation_ = 1;
    std::uint64_t ownersGeneration_ = 0;
    std::uint64_t lastPing_ = 0;
    Revision configuration_;
    std::optional<TimePoint> nextPing_;
    std::optional<TimePoint> nextSnapshot_;
};

} // namespace cardamomstep
