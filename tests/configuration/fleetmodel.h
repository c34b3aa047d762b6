// A fleet of proxies in virtual time: their ConfigurationGossip objects, a model of the store and of the network between them.
#pragma once

#include "configuration/gossip.h"
#include "store/modelstore.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace cardamomstep::test {

/// Size and layout of a FleetModel; the proxies are distributed evenly over the failure domains, and these over the regions.
struct FleetShape {
    std::size_t proxies = 7;
    std::size_t domains = 3;
    std::size_t regions = 1;
    /// Approximate size of a record's value in bytes.
    std::size_t valueBytes = 600;
    std::uint64_t seed = 1;
};

/// Runs a fleet in virtual time: time passes only in run(). Proxies are named by their index.
class FleetModel
{
public:
    explicit FleetModel(FleetShape shape)
        : shape_(shape)
        , random_(shape.seed)
        , up_(shape.proxies, true)
        , cutRegion_(shape.regions, false)
        , storeCut_(shape.proxies, false)
        , isolated_(shape.proxies, false)
        , bytes_(shape.proxies, 0)
    {
        std::vector<LiveInstance> all;
        for (std::size_t node = 0; node < shape.proxies; ++node) {
            all.push_back({nameOf(node), domainOf(node), Address{"10.0.0.1:1"}});
        }
        live = std::make_shared<InstanceSet>(all);
        for (std::size_t node = 0; node < shape.proxies; ++node) {
            nodes_.push_back(makeNode(node));
            startLoops(node, Milliseconds{random_.below(1000)});
        }
    }

    static InstanceName nameOf(std::size_t node)
    {
        return InstanceName{"proxy-" + std::to_string(node)};
    }
    FailureDomain domainOf(std::size_t node) const
    {
        return FailureDomain{"domain-" + std::to_string(node % shape_.domains)};
    }
    std::size_t regionOf(std::size_t node) const
    {
        return (node % shape_.domains) * shape_.regions / shape_.domains;
    }

    ConfigurationGossip &node(std::size_t index)
    {
        return *nodes_[index];
    }
    std::size_t size() const
    {
        return nodes_.size();
    }
    TimePoint now() const
    {
        return now_;
    }

    /// Replaces the proxy by a new process that knows nothing.
    void restart(std::size_t index)
    {
        ++epochs_[index];
        nodes_[index] = makeNode(index);
        startLoops(index, Milliseconds{1});
    }

    /// Writes an object to the store through the proxy \a by, as its I/O layer would. The proxy may fail before it reports the write.
    Revision writeThrough(std::size_t by, const std::string &name, bool removal = false)
    {
        const ObjectKey key{ObjectKind{"group"}, ObjectName{name}};
        const auto reply = store.apply({key, valueFor(name), store.versionOf(key), {}, removal});
        changedAt[reply.version] = now_;
        completeWatches();
        perform(by, nodes_[by]->onAccepted(store.history().back(), now_));
        return reply.version;
    }

    /// Writes an object without a report to any proxy, as another writer would.
    Revision writeElsewhere(const std::string &name)
    {
        const ObjectKey key{ObjectKind{"group"}, ObjectName{name}};
        const auto reply = store.apply({key, valueFor(name), store.versionOf(key), {}, false});
        changedAt[reply.version] = now_;
        completeWatches();
        return reply.version;
    }

    void run(Microseconds span)
    {
        const auto end = now_ + span;
        while (!events_.empty() && events_.top().time <= end) {
            auto event = std::move(const_cast<Event &>(events_.top()));
            events_.pop();
            now_ = event.time;
            event.action();
        }
        now_ = end;
    }

    /// Returns the number of proxies that hold the change of \a revision or a later one of the same object.
    std::size_t proxiesHolding(Revision revision, const std::string &name)
    {
        const ObjectKey key{ObjectKind{"group"}, ObjectName{name}};
        return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [&](const auto &node) {
            const auto *known = node->state().find(key);
            return known != nullptr && known->version >= revision;
        }));
    }

    std::size_t countIn(ConfigurationFreshnessState state)
    {
        return static_cast<std::size_t>(
            std::count_if(nodes_.begin(), nodes_.end(), [&](const auto &node) { return node->configurationFreshness(now_) == state; }));
    }

    bool reachesStore(std::size_t index) const
    {
        return !storeDown && !storeCut_[index] && !isolated_[index] && !cutRegion_[regionOf(index)];
    }

    void cutRegion(std::size_t region, bool cut)
    {
        cutRegion_[region] = cut;
    }
    void cutFromStore(std::size_t index, bool cut)
    {
        storeCut_[index] = cut;
    }
    void isolate(std::size_t index, bool cut)
    {
        isolated_[index] = cut;
    }

    std::uint64_t bytesOf(std::size_t index) const
    {
        return bytes_[index];
    }
    void resetCounts()
    {
        std::fill(bytes_.begin(), bytes_.end(), 0);
        storeCallsBySecond.clear();
        messages = 0;
    }

    ModelStore store;
    bool storeDown = false;
    std::shared_ptr<const InstanceSet> live;
    /// Time of each change, and the time at which it most recently came into force on a proxy.
    std::map<Revision, TimePoint> changedAt;
    std::map<Revision, TimePoint> lastInForceAt;
    std::map<std::int64_t, std::size_t> storeCallsBySecond;
    std::uint64_t messages = 0;
    /// The number of times that an object went back to an older version or reappeared after its deletion.
    std::size_t reverted = 0;

private:
    struct Event {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };
    struct PendingWatch {
        std::size_t node;
        std::uint64_t epoch;
        Revision after;
        TimePoint calledAt;
        bool done = false;
    };

    std::string valueFor(const std::string &name) const
    {
        return "{\"name\":\"" + name + "\",\"fill\":\"" + std::string(shape_.valueBytes, 'x') + "\"}";
    }

    std::unique_ptr<ConfigurationGossip> makeNode(std::size_t index)
    {
        GossipOptions options;
        options.self = nameOf(index);
        options.domain = domainOf(index);
        options.seed = random_();
        auto node = std::make_unique<ConfigurationGossip>(options);
        node->setInstances(live, shape_.domains);
        versions_[index].clear();
        return node;
    }

    void startLoops(std::size_t index, Milliseconds delay)
    {
        const auto epoch = epochs_[index];
        schedule(now_ + delay, [this, index, epoch] { tickLoop(index, epoch); });
        schedule(now_ + delay, [this, index, epoch] { storeLoop(index, epoch); });
    }

    void schedule(TimePoint time, std::function<void()> action)
    {
        events_.push({time, ++lastOrder_, std::move(action)});
    }

    bool isRunning(std::size_t index, std::uint64_t epoch) const
    {
        return up_[index] && epochs_.at(index) == epoch;
    }

    void tickLoop(std::size_t index, std::uint64_t epoch)
    {
        if (!isRunning(index, epoch)) {
            return;
        }
        perform(index, nodes_[index]->tick(now_));
        schedule(now_ + Milliseconds{250}, [this, index, epoch] { tickLoop(index, epoch); });
    }

    void storeLoop(std::size_t index, std::uint64_t epoch)
    {
        if (!isRunning(index, epoch)) {
            return;
        }
        const auto step = nodes_[index]->nextStoreStep(now_);
        if (const auto *delayUntil = std::get_if<DelayUntil>(&step)) {
            schedule(std::max(delayUntil->time, now_ + Milliseconds{1}), [this, index, epoch] { storeLoop(index, epoch); });
            return;
        }
        ++storeCallsBySecond[std::chrono::duration_cast<Seconds>(now_.time_since_epoch()).count()];
        bytes_[index] += storeCallBytes;
        const auto calledAt = now_;
        if (!reachesStore(index)) {
            schedule(now_ + Milliseconds{1000}, [this, index, epoch] {
                if (isRunning(index, epoch)) {
                    nodes_[index]->onStoreFailure(now_);
                    storeLoop(index, epoch);
                }
            });
            return;
        }
        if (std::holds_alternative<ListAll>(step)) {
            schedule(now_ + storeDelay, [this, index, epoch, calledAt, listing = store.list()] {
                if (isRunning(index, epoch)) {
                    bytes_[index] += sizeOf(listing.objects);
                    perform(index, nodes_[index]->onListing(listing, calledAt, now_));
                    storeLoop(index, epoch);
                }
            });
            return;
        }
        const auto &watch = std::get<WatchAfter>(step);
        auto waiting = std::make_shared<PendingWatch>(PendingWatch{index, epoch, watch.after, calledAt, false});
        if (store.revision() > watch.after || watch.wait.count() == 0) {
            replyToWatch(waiting);
            return;
        }
        watches_.push_back(waiting);
        schedule(now_ + watch.wait, [this, waiting] { replyToWatch(waiting); });
    }

    void replyToWatch(const std::shared_ptr<PendingWatch> &waiting)
    {
        if (waiting->done) {
            return;
        }
        waiting->done = true;
        const bool reachable = reachesStore(waiting->node);
        schedule(now_ + storeDelay, [this, waiting, reachable, changes = store.watch(waiting->after)] {
            if (!isRunning(waiting->node, waiting->epoch)) {
                return;
            }
            if (reachable) {
                bytes_[waiting->node] += sizeOf(changes.changes);
                perform(waiting->node, nodes_[waiting->node]->onChanges(changes, waiting->calledAt, now_));
            } else {
                nodes_[waiting->node]->onStoreFailure(now_);
            }
            storeLoop(waiting->node, waiting->epoch);
        });
    }

    void completeWatches()
    {
        std::vector<std::shared_ptr<PendingWatch>> waiting;
        waiting.swap(watches_);
        for (const auto &watch : waiting) {
            if (reachesStore(watch->node)) {
                replyToWatch(watch);
            } else if (!watch->done) {
                watches_.push_back(watch);
            }
        }
    }

    bool connected(std::size_t from, std::size_t to) const
    {
        const bool sameRegion = regionOf(from) == regionOf(to);
        const bool regionsConnected = sameRegion || (!cutRegion_[regionOf(from)] && !cutRegion_[regionOf(to)]);
        return up_[from] && up_[to] && !isolated_[from] && !isolated_[to] && regionsConnected;
    }

    Microseconds delay(std::size_t from, std::size_t to)
    {
        const auto jitter = Microseconds{random_.below(500)};
        if (domainOf(from) == domainOf(to)) {
            return Microseconds{300} + jitter;
        }
        return (regionOf(from) == regionOf(to) ? Microseconds{3500} : Microseconds{40'000}) + jitter;
    }

    static std::size_t sizeOf(const std::vector<StoredObject> &objects)
    {
        std::size_t bytes = 0;
        for (const auto &object : objects) {
            bytes += object.kind.text().size() + object.name.text().size() + object.value.size() + 3 * fieldOverheadBytes;
        }
        return bytes;
    }

    static std::size_t wireBytes(const GossipMessage &message)
    {
        constexpr std::size_t framing = 150;
        constexpr std::size_t digest = 32;
        auto bytes = framing + digest + message.from.text().size() + message.domain.text().size();
        bytes += message.confirmation ? 2 * fieldOverheadBytes : 0;
        for (const auto &entry : message.domainAges) {
            bytes += entry.domain.text().size() + fieldOverheadBytes;
        }
        if (message.delta) {
            bytes += sizeOf(message.delta->changes);
        }
        return bytes;
    }

    void count(std::size_t from, std::size_t to, const GossipMessage &message)
    {
        const auto size = wireBytes(message);
        bytes_[from] += size;
        bytes_[to] += size;
        ++messages;
    }

    /// Inverse of nameOf().
    std::size_t indexOf(const InstanceName &name) const
    {
        return std::stoul(name.text().substr(6));
    }

    void perform(std::size_t index, const GossipActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *exchange = std::get_if<SendExchange>(&action)) {
                sendExchange(index, *exchange);
            } else {
                recordInForce(index, std::get<ObjectsChanged>(action).objects);
            }
        }
    }

    void sendExchange(std::size_t from, const SendExchange &exchange)
    {
        const auto to = indexOf(exchange.to.name);
        const auto epoch = epochs_[from];
        const auto fail = [this, from, epoch, id = exchange.id] {
            if (isRunning(from, epoch)) {
                nodes_[from]->onExchangeFailed(id);
            }
        };
        const auto timeoutAt = now_ + Milliseconds{500};
        if (!connected(from, to)) {
            schedule(timeoutAt, fail);
            return;
        }
        count(from, to, exchange.message);
        schedule(now_ + delay(from, to), [this, from, to, epoch, fail, timeoutAt, id = exchange.id, request = exchange.message] {
            if (!connected(from, to)) {
                schedule(timeoutAt, fail);
                return;
            }
            auto response = nodes_[to]->onRequest(request, now_);
            perform(to, response.actions);
            count(to, from, response.reply);
            schedule(now_ + delay(to, from), [this, from, epoch, id, reply = std::move(response.reply)] {
                if (isRunning(from, epoch)) {
                    perform(from, nodes_[from]->onReply(id, reply, now_));
                }
            });
        });
    }

    void recordInForce(std::size_t index, const std::vector<StoredObject> &objects)
    {
        for (const auto &object : objects) {
            auto &lastVersion = versions_[index][object.key()];
            reverted += object.version <= lastVersion ? 1 : 0;
            lastVersion = object.version;
            lastInForceAt[object.version] = now_;
        }
    }

    static constexpr Milliseconds storeDelay{5};
    /// Bytes of a call to the store and its reply with headers, without the objects.
    static constexpr std::size_t storeCallBytes = 500;
    /// Bytes of a field's tag and length.
    static constexpr std::size_t fieldOverheadBytes = 6;

    FleetShape shape_;
    Random random_;
    TimePoint now_{};
    std::uint64_t lastOrder_ = 0;
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<ConfigurationGossip>> nodes_;
    /// The number of restarts of each proxy; events of its earlier processes are ignored.
    std::map<std::size_t, std::uint64_t> epochs_;
    std::map<std::size_t, std::map<ObjectKey, Revision>> versions_;
    std::vector<bool> up_;
    std::vector<bool> cutRegion_;
    std::vector<bool> storeCut_;
    std::vector<bool> isolated_;
    std::vector<std::uint64_t> bytes_;
    std::vector<std::shared_ptr<PendingWatch>> watches_;
};

} // namespace cardamomstep::test
