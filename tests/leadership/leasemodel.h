// A model of the store's lease object and of the proxies that contend for it, in which every interleaving of events can be played.
#pragma once

#include "leadership/fleetlease.h"
#include "store/storeepochs.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cardamomstep::leadership::test {

/// What can happen next.
enum class LeaseEventKind : std::uint8_t {
    Write, ///< A proxy's due write is sent and executed; its reply is on the way.
    SendLate, ///< A proxy's due write is sent; the store executes it later, if ever.
    ExecuteLate, ///< The store executes the proxy's delayed write.
    Reply, ///< The reply to the proxy's write arrives.
    LoseReply, ///< The proxy gives up on the reply.
    Read, ///< The proxy reads the stored lease.
    Attempt, ///< Read, Write and Reply without anything in between.
    Relinquish, ///< A holder relinquishes the lease and reports it to all others.
    Report, ///< A proxy reports the lease to all others.
    Restart, ///< The proxy's process is killed and started again.
    Rise, ///< The store loses its newest writes and starts a new epoch; the argument is the number of writes lost, less one.
    ShortWait,
    LongWait,
};

struct LeaseEvent {
    LeaseEventKind kind;
    /// The number of the proxy, unless the kind says otherwise.
    std::size_t argument = 0;

    [[nodiscard]] bool operator==(const LeaseEvent &) const = default;
};

[[nodiscard]] inline std::string toText(const LeaseEvent &event)
{
    static const char *const names[] = {"write",
                                        "send-late",
                                        "execute-late",
                                        "reply",
                                        "lose-reply",
                                        "read",
                                        "attempt",
                                        "relinquish",
                                        "report",
                                        "restart",
                                        "rise",
                                        "wait-400ms",
                                        "wait-7500ms"};
    return std::string(names[static_cast<std::size_t>(event.kind)]) + "(" + std::to_string(event.argument) + ")";
}

[[nodiscard]] inline std::string toText(const std::vector<LeaseEvent> &events)
{
    std::string text;
    for (const auto &event : events) {
        text += (text.empty() ? "" : " ") + toText(event);
    }
    return text;
}

/// The lease object, its history, and the proxies with their clients of the store. Copyable, so that a search can branch.
class LeaseModel
{
public:
    /// Proxy 0 holds the lease, and its next renewal is due.
    explicit LeaseModel(std::size_t proxies)
    {
        for (std::size_t index = 0; index < proxies; ++index) {
            proxies_.push_back(newProxy(index, true));
        }
        apply({LeaseEventKind::Attempt, 0});
        now_ += Milliseconds{400};
        apply({LeaseEventKind::Attempt, 0});
        for (std::size_t index = 1; index < proxies; ++index) {
            apply({LeaseEventKind::Read, index});
        }
        now_ += Milliseconds{1600};
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return proxies_.size();
    }

    [[nodiscard]] bool holds(std::size_t proxy) const
    {
        return proxies_[proxy].lease.holds(now_);
    }

    /// The first broken invariant; empty while all hold.
    [[nodiscard]] const std::string &violation() const noexcept
    {
        return violation_;
    }

    [[nodiscard]] bool enabled(const LeaseEvent &event) const
    {
        if (event.kind == LeaseEventKind::Rise) {
            return event.argument + 1 < history_.size() && epoch_ < maxEpoch;
        }
        if (event.kind == LeaseEventKind::ShortWait || event.kind == LeaseEventKind::LongWait) {
            return event.argument == 0;
        }
        if (event.argument >= proxies_.size()) {
            return false;
        }
        const auto &proxy = proxies_[event.argument];
        switch (event.kind) {
        case LeaseEventKind::Write:
        case LeaseEventKind::SendLate:
        case LeaseEventKind::Attempt:
            return !proxy.call;
        case LeaseEventKind::ExecuteLate:
            return proxy.delayed.has_value();
        case LeaseEventKind::Reply:
            return proxy.call && proxy.call->executed;
        case LeaseEventKind::LoseReply:
            return proxy.call.has_value();
        case LeaseEventKind::Relinquish:
        case LeaseEventKind::Report:
            return proxy.lease.holds(now_);
        default:
            return true;
        }
    }

    void apply(const LeaseEvent &event)
    {
        switch (event.kind) {
        case LeaseEventKind::Write:
            send(event.argument, false);
            break;
        case LeaseEventKind::SendLate:
            send(event.argument, true);
            break;
        case LeaseEventKind::ExecuteLate:
            executeLate(event.argument);
            break;
        case LeaseEventKind::Reply:
            deliver(event.argument);
            break;
        case LeaseEventKind::LoseReply:
            loseReply(event.argument);
            break;
        case LeaseEventKind::Read:
            read(event.argument);
            break;
        case LeaseEventKind::Attempt:
            read(event.argument);
            send(event.argument, false);
            if (proxies_[event.argument].call) {
                deliver(event.argument);
            }
            break;
        case LeaseEventKind::Relinquish:
            relinquish(event.argument);
            break;
        case LeaseEventKind::Report:
            report(event.argument);
            break;
        case LeaseEventKind::Restart:
            proxies_[event.argument] = newProxy(event.argument, false);
            break;
        case LeaseEventKind::Rise:
            rise(event.argument + 1);
            break;
        case LeaseEventKind::ShortWait:
            wait(Milliseconds{400});
            break;
        case LeaseEventKind::LongWait:
            wait(Milliseconds{7500});
            break;
        }
        check();
    }

private:
    static constexpr std::uint64_t maxEpoch = 3;
    static constexpr Milliseconds callTimeout{900};

    /// A write of the lease, as sent.
    struct Call {
        LeaseWrite write;
        StoreEpoch sentIn;
        TimePoint startedAt;
        bool executed = false;
        bool accepted = false;
        Revision revision;
    };

    struct Proxy {
        FleetLease lease;
        StoreEpochs epochs;
        /// The write whose reply this process waits for.
        std::optional<Call> call;
        /// A write that the store has not executed yet, also of a process that gave up on it or has ended.
        std::optional<Call> delayed;
    };

    Proxy newProxy(std::size_t index, bool newFleet)
    {
        return {FleetLease(InstanceName{"proxy-" + std::to_string(index)}, index + 1, newFleet),
                {},
                std::nullopt,
                index < proxies_.size() ? proxies_[index].delayed : std::nullopt};
    }

    /// Applies the epoch of a reply to the proxy, as its client of the store does.
    void observeEpoch(Proxy &proxy) const
    {
        const auto known = proxy.epochs.newest();
        const bool first = !proxy.epochs.known();
        if (proxy.epochs.observe(StoreEpoch{epoch_}) && (first || known != StoreEpoch{epoch_})) {
            proxy.lease.onStoreEpoch({StoreEpoch{epoch_}, first}, now_);
        }
    }

    void read(std::size_t index)
    {
        auto &proxy = proxies_[index];
        observeEpoch(proxy);
        proxy.lease.onStoredLease(stored(), StoreEpoch{epoch_}, now_);
    }

    [[nodiscard]] std::optional<LeaseState> stored() const
    {
        auto state = history_.back();
        if (state) {
            state->revision.epoch = StoreEpoch{epoch_};
        }
        return state;
    }

    void send(std::size_t index, bool late)
    {
        auto &proxy = proxies_[index];
        const auto write = proxy.lease.next(now_);
        if (!write) {
            return;
        }
        if (write->expected.value != 0 && write->expected.epoch < proxy.epochs.newest()) {
            proxy.lease.writeFailed(write->id, true, now_);
            return;
        }
        proxy.call = Call{*write, proxy.epochs.newest(), now_};
        if (late) {
            proxy.delayed = proxy.call;
        } else {
            execute(index, *proxy.call);
        }
    }

    /// Executes a conditional write; the store compares the number of the expected revision only.
    void execute(std::size_t index, Call &call)
    {
        call.executed = true;
        const auto &present = history_.back();
        const std::uint64_t number = present ? present->revision.value : 0;
        call.accepted = number == call.write.expected.value;
        if (!call.accepted) {
            return;
        }
        ++revision_;
        LeaseState state;
        state.holder = InstanceName{"proxy-" + std::to_string(index)};
        state.renewals = call.write.renewals;
        state.revision = Revision{revision_, StoreEpoch{epoch_}};
        state.writtenIn = call.write.epoch;
        state.fencingToken = call.write.fencingToken == 0 ? fencingTokenOf({revision_, call.write.epoch}) : call.write.fencingToken;
        history_.push_back(state);
        call.revision = state.revision;
    }

    void executeLate(std::size_t index)
    {
        auto &proxy = proxies_[index];
        auto call = *std::exchange(proxy.delayed, std::nullopt);
        execute(index, call);
        if (proxy.call && proxy.call->write.id == call.write.id && proxy.call->startedAt == call.startedAt) {
            proxy.call = call;
        }
    }

    void deliver(std::size_t index)
    {
        auto &proxy = proxies_[index];
        const auto call = *std::exchange(proxy.call, std::nullopt);
        observeEpoch(proxy);
        if (call.accepted && call.sentIn == StoreEpoch{epoch_}) {
            const auto result = proxy.lease.written(call.write.id, call.revision, call.startedAt, now_);
            if (result == LeaseWriteResult::Acquired && call.write.fencingToken == 0) {
                onAcquired(proxy.lease.fencingToken());
            }
            return;
        }
        proxy.lease.writeFailed(call.write.id, !call.accepted, now_);
    }

    void onAcquired(std::uint64_t token)
    {
        if (token <= highestToken_ && violation_.empty()) {
            violation_ = "the fencing token does not rise";
        }
        highestToken_ = std::max(highestToken_, token);
    }

    void loseReply(std::size_t index)
    {
        auto &proxy = proxies_[index];
        const auto call = *std::exchange(proxy.call, std::nullopt);
        proxy.lease.writeFailed(call.write.id, false, now_);
    }

    void relinquish(std::size_t index)
    {
        const auto token = proxies_[index].lease.relinquish(now_);
        for (std::size_t other = 0; other < proxies_.size(); ++other) {
            if (other != index) {
                proxies_[other].lease.onRelinquished(token, now_);
            }
        }
    }

    void report(std::size_t index)
    {
        const auto report = proxies_[index].lease.report(now_);
        for (std::size_t other = 0; other < proxies_.size(); ++other) {
            if (other != index) {
                proxies_[other].lease.onLeaseReport(report, now_);
            }
        }
    }

    void rise(std::size_t lostWrites)
    {
        for (std::size_t lost = 0; lost < lostWrites; ++lost) {
            history_.pop_back();
        }
        // The numbers of the lost writes are given out again.
        revision_ = history_.back() ? history_.back()->revision.value : 0;
        ++epoch_;
    }

    void wait(Milliseconds time)
    {
        now_ += time;
        for (std::size_t index = 0; index < proxies_.size(); ++index) {
            const auto &call = proxies_[index].call;
            if (call && now_ - call->startedAt > callTimeout) {
                loseReply(index);
            }
        }
    }

    void check()
    {
        const auto holders =
            std::count_if(proxies_.begin(), proxies_.end(), [this](const Proxy &proxy) { return proxy.lease.holds(now_); });
        if (holders > 1 && violation_.empty()) {
            violation_ = "two proxies rely on the lease";
        }
    }

    TimePoint now_{Seconds{1000}};
    std::vector<Proxy> proxies_;
    std::uint64_t epoch_ = 1;
    std::uint64_t revision_ = 0;
    /// The lease after each write; the last one is stored.
    std::vector<std::optional<LeaseState>> history_{std::nullopt};
    std::uint64_t highestToken_ = 0;
    std::string violation_;
};

} // namespace cardamomstep::leadership::test
