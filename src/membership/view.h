// Which proxies live, in the manner of SWIM: each pings one other a period, and news travels on pings and their answers.
//
// Pure: the shell sends the messages that come out and passes in those that arrive, with the time.
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

/// What is held of a proxy. The order is that in which news of one incarnation replaces other news.
enum class ProxyState : std::uint8_t {
    Alive,
    Suspect, ///< It did not answer; it owns its groups until it is held dead.
    Leaving, ///< It takes no new work and owns nothing; it still answers.
    Dead,
};

/// A schema form of a kind of record that a proxy can read, for example {"group", 2}.
struct SchemaForm {
    ObjectKind kind;
    std::uint32_t version = 0;

    [[nodiscard]] auto operator<=>(const SchemaForm &) const = default;
    [[nodiscard]] bool operator==(const SchemaForm &) const = default;
};

/// Most schema forms that a proxy may list.
inline constexpr std::size_t maxSchemaForms = 16;

/// News of one proxy.
struct MemberUpdate {
    LiveInstance instance;
    /// Raised by the proxy itself: at each start, and to refute a suspicion.
    std::uint64_t incarnation = 0;
    ProxyState state = ProxyState::Alive;
    /// The schema forms that it reads; at most schemaFormsMost.
    std::vector<SchemaForm> forms;

    [[nodiscard]] bool operator==(const MemberUpdate &) const = default;
};

/// News as it is passed on: immutable, never null.
using SharedUpdate = std::shared_ptr<const MemberUpdate>;

/// A proxy as this one knows it.
struct KnownProxy {
    SharedUpdate update;
    /// Revision up to which it had all of the configuration when it last spoke to this proxy; 0 before.
    Revision configuration;
    /// False while only the platform's list names it.
    bool contacted = false;
};

/// Numbers a ping within the proxy that sent it.
enum class PingId : std::uint64_t {};

/// What pings and their answers carry along.
struct MembershipMessage {
    InstanceName from;
    /// Revision up to which the sender has all of the configuration.
    Revision configuration;
    /// True when the sender lacks the receiver's own news, which the answer then carries.
    bool requestReceiverUpdate = false;
    std::vector<SharedUpdate> updates;
};

/// Ping \a to; pass the answer to onAck(), nothing otherwise.
struct SendPing {
    PingId id{};
    LiveInstance to;
    MembershipMessage message;
};

/// Ask \a via to ping \a target; an answer of the target passed on by it goes to onAck(), nothing otherwise.
struct SendIndirectPing {
    PingId id{};
    LiveInstance via;
    LiveInstance target;
    MembershipMessage message;
};

/// Ask \a from for its snapshot() and pass it to onSnapshot().
struct FetchSnapshot {
    LiveInstance from;
};

using MembershipAction = std::variant<SendPing, SendIndirectPing, FetchSnapshot>;
using MembershipActions = std::vector<MembershipAction>;

/// Limits of a MembershipView.
struct MembershipOptions {
    LiveInstance self;
    /// Incarnation to start with: the start time in milliseconds since the epoch, so that a restart counts as newer.
    std::uint64_t incarnation = 1;
    std::vector<SchemaForm> forms;
    /// Time between two pings.
    Milliseconds pingPeriod{1000};
    /// Wait for a direct answer before others are asked to ping.
    Milliseconds directPingTimeout{300};
    /// Proxies that are asked.
    std::size_t indirectPings = 3;
    /// Wait for an answer on any way before the proxy is suspected, from the first ping.
    Milliseconds probeTimeout{900};
    /// Time for a suspect to refute, before it is held dead.
    Milliseconds suspicionTimeout{3000};
    /// News that one message carries at most.
    std::size_t maxUpdatesPerMessage = 12;
    /// Times that each piece of news is passed on, for each doubling of the fleet.
    std::size_t retransmitMultiplier = 2;
    /// Least time between two snapshots fetched, and the part of it for each proxy known; the larger one counts.
    Milliseconds minSnapshotInterval{10'000};
    Milliseconds snapshotIntervalPerProxy{500};
    /// How long a dead proxy is remembered after the platform's list no longer names it.
    Milliseconds deadRetention{60'000};
    /// Most proxies that are tracked.
    std::size_t maxProxies = 20'000;
    std::uint64_t seed = 1;
};

/// One proxy's view of all proxies.
///
/// Safety never rests on this view: two proxies that differ waste connections, and terms keep writes apart.
class MembershipView
{
public:
    explicit MembershipView(MembershipOptions options);

    /// Takes the platform's instance list; entries of other roles are passed over.
    ///
    /// The list lags: what it names and nobody has heard of is held alive until a ping says otherwise, and what a newer
    /// incarnation's own news says is not undone by it.
    void onListed(const std::vector<ListedInstance> &instances, TimePoint now);

    /// Sends the period's ping and carries suspicions on; call it at least every 100 ms.
    [[nodiscard]] MembershipActions tick(TimePoint now);

    /// Answers a ping, also one that another proxy asked for.
    [[nodiscard]] MembershipMessage onPing(const MembershipMessage &ping, TimePoint now);
    /// Takes an answer.
    void onAck(PingId id, const MembershipMessage &ack, TimePoint now);
    /// The proxy pinged by \a id refused the connection: its process is gone, so other ways are not tried.
    void onRefused(PingId id, TimePoint now);

    /// All news known here, for a proxy that starts or may have missed some.
    [[nodiscard]] std::vector<SharedUpdate> snapshot() const;
    /// Takes another proxy's snapshot; its news is not passed on, since every proxy fetches one now and then.
    void onSnapshot(const std::vector<SharedUpdate> &updates, TimePoint now);

    /// This proxy is stopping: tells the others that it owns nothing from now on.
    void leave(TimePoint now);
    /// True after leave(), or once the platform's list, read here or by another proxy, says that this proxy is leaving.
    [[nodiscard]] bool isLeaving() const;
    /// Sets the revision that messages tell of.
    void setConfiguration(Revision revision) noexcept
    {
        configuration_ = revision;
    }

    /// Notes that \a name had all of the configuration up to \a revision, as other messages show.
    void recordConfiguration(const InstanceName &name, Revision revision);

    /// The proxies that may own groups: alive or suspect, not leaving. Made anew when generation() has grown since the last call.
    [[nodiscard]] std::shared_ptr<const InstanceSet> owners();
    /// Grows whenever owners() changes.
    [[nodiscard]] std::uint64_t generation() const noexcept
    {
        return generation_;
    }

    /// All proxies known, this one included, sorted by name.
    [[nodiscard]] const std::vector<KnownProxy> &proxies() const noexcept
    {
        return proxies_;
    }
    /// The proxy \a name; null when it is not known. Valid until the next call that changes the view.
    [[nodiscard]] const KnownProxy *find(const InstanceName &name) const;

    /// Number of failure domains that the platform's last list names, or that the known proxies stand in when there was none.
    [[nodiscard]] std::size_t listedDomains() const;

    /// Proxies, not held dead, that do not list \a form, or whose forms are not known yet.
    [[nodiscard]] std::vector<InstanceName> cannotRead(const SchemaForm &form) const;
    /// Proxies, not held dead, that were not heard to have all of the configuration up to \a revision.
    [[nodiscard]] std::vector<InstanceName> behind(Revision revision) const;

private:
    struct Probe {
        InstanceName target;
        TimePoint sentAt;
        bool indirectPingsSent = false;
    };
    /// Times that a piece of news was passed on, by the proxy it is about.
    using Rumors = std::map<InstanceName, std::size_t>;

    [[nodiscard]] MembershipMessage messageTo(const KnownProxy *receiver);
    [[nodiscard]] std::vector<SharedUpdate> nextRumors();
    [[nodiscard]] std::size_t rumorLimit() const;
    [[nodiscard]] const KnownProxy *nextTarget();
    [[nodiscard]] const KnownProxy *randomAlive(const InstanceName &except);
    template<typename Wanted>
    [[nodiscard]] const KnownProxy *randomProxy(Wanted wanted);
    [[nodiscard]] KnownProxy *findMutable(const InstanceName &name);
    [[nodiscard]] bool isListed(const InstanceName &name) const;
    [[nodiscard]] bool isSelf(const InstanceName &name) const
    {
        return name == options_.self.name;
    }
    [[nodiscard]] SharedUpdate ownUpdate() const;
    bool applyUpdate(const SharedUpdate &update, TimePoint now);
    void applyMessage(const MembershipMessage &message, TimePoint now);
    void refute(const MemberUpdate &update, TimePoint now);
    bool set(SharedUpdate update, TimePoint now);
    void disseminate(const InstanceName &name);
    void setState(const KnownProxy &proxy, ProxyState state, TimePoint now);
    void suspect(const InstanceName &name, TimePoint now);
    void ping(TimePoint now, MembershipActions &actions);
    void fetchSnapshot(TimePoint now, MembershipActions &actions);
    void checkProbes(TimePoint now, MembershipActions &actions);
    void sendIndirectPings(PingId id, const Probe &probe, MembershipActions &actions);
    void checkSuspects(TimePoint now);
    void forgetDead(TimePoint now);

    MembershipOptions options_;
    Random random_;
    /// Invariant: sorted by name, names are unique, this proxy is among them, at most `options_.proxies`.
    std::vector<KnownProxy> proxies_;
    /// When each suspect is held dead.
    std::map<InstanceName, TimePoint> suspects_;
    /// Since when each dead proxy is dead.
    std::map<InstanceName, TimePoint> dead_;
    /// Invariant: names are in proxies_.
    Rumors rumors_;
    /// Invariant: at most as many as pings in `answerWait`.
    std::map<PingId, Probe> probes_;
    /// Sorted.
    std::vector<InstanceName> listed_;
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
