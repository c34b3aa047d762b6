// Takes, renews, reads and gives back the fleet's lease in the store.
#pragma once

#include "evloop/clock.h"
#include "fleet/messages.h"
#include "gateway/leadershipcontext.h"
#include "leadership/recordjson.h"

#include <functional>
#include <utility>

namespace cardamomstep::gateway {

/// Called when this process takes or loses the lease.
struct LeaseHandlers {
    std::function<void()> acquired;
    std::function<void()> lost;
};

/// Carries out what the lease's decisions ask of the store.
template<typename Store>
class LeaseManager
{
public:
    LeaseManager(LeadershipContext<Store> &context, LeaseHandlers handlers)
        : context_(context)
        , handlers_(std::move(handlers))
    {
    }

    /// Renews or tries to take the lease, when it is time to.
    void tick(TimePoint now)
    {
        const bool wasHeld = std::exchange(heldAtTick_, context_.lease.holds(now));
        if (wasHeld && !heldAtTick_) {
            onLost();
        }
        const auto write = context_.lease.next(now);
        if (!write) {
            return;
        }
        const auto value = leadership::encodeLease(context_.settings.instance, write->fencingToken, write->renewals);
        const auto done = [this, now, write = *write](const Result<StoredObject> &stored) {
            const auto later = evloop::bootTimeNow();
            if (!stored) {
                context_.lease.writeFailed(stored.error().kind == ErrorKind::Conflict, later);
                return;
            }
            context_.lastStoreReplyAt = later;
            const bool acquired = !context_.lease.holds(later) || write.fencingToken == 0;
            context_.lease.written(stored->version, now, later);
            if (acquired) {
                onAcquired();
            }
        };
        if (write->expected.value == 0) {
            context_.store.create(leadership::leaseKey(), value, context_.limits.storeTimeout, done);
        } else {
            context_.store.replace(leadership::leaseKey(), write->expected, value, context_.limits.storeTimeout, done);
        }
    }

    /// Reads the stored lease, which few proxies need and only while no holder is heard of.
    void read(TimePoint now, bool fleetListed)
    {
        const bool reads = context_.renewalTree.readsStore(context_.settings.instance) || !fleetListed
            || context_.random.below(context_.limits.leaseReadOdds) == 0;
        const bool needed = context_.lease.needsRead() || now - lastContactAt_ >= context_.limits.leaseReadAfter;
        if (reading_ || !needed || now - readAt_ < context_.limits.leaseReadInterval) {
            return;
        }
        readAt_ = now;
        if (!reads && !context_.lease.needsRead()) {
            return;
        }
        reading_ = true;
        context_.renewStore.list(leadership::leaseKind(), context_.limits.storeTimeout, [this](const Result<StoreListing> &listing) {
            reading_ = false;
            if (!listing) {
                return;
            }
            const auto later = evloop::bootTimeNow();
            context_.lastStoreReplyAt = later;
            if (listing->objects.empty()) {
                context_.lease.onStoredLease(std::nullopt, later);
            }
            for (const auto &object : listing->objects) {
                context_.applyObject(object, later);
            }
        });
    }

    /// Takes in the lease as the store holds it; nothing when it holds none.
    void onStoredLease(const std::optional<leadership::LeaseState> &lease, TimePoint now)
    {
        const bool held = context_.lease.holds(now);
        const auto before = context_.lease.holder();
        context_.lease.onStoredLease(lease, now);
        if (lease && before != context_.lease.holder()) {
            context_.host.log(LogLevel::Info,
                              "lease_seen",
                              {{"holder", context_.lease.holder().text()},
                               {"before", before.text()},
                               {"fence", static_cast<std::int64_t>(lease->fencingToken)}});
        }
        if (held && !context_.lease.holds(now)) {
            onLost();
        }
    }

    /// Notes the word of a proxy on the lease that it or its source holds.
    void onRenewReply(const fleet::RenewReply &reply, TimePoint now)
    {
        context_.lease.onRelinquished(reply.relinquishedToken, now);
        context_.lease.onLeaseReport(reply.lease, now);
        const bool kept = reply.lease.remaining > Milliseconds{0} && reply.relinquishedToken != reply.lease.fencingToken;
        if (reply.granted && kept) {
            lastContactAt_ = now;
        }
    }

    /// Gives the lease up where the store answers others but not this holder, which could order nothing.
    void relinquishIfIsolated(const fleet::RenewRequest &request, TimePoint now)
    {
        const bool isolated = now - context_.lastStoreReplyAt >= context_.limits.storeSilenceTimeout;
        const bool repliesToSender = request.sinceStoreReply && *request.sinceStoreReply < context_.limits.storeSilenceTimeout / 2;
        if (!context_.lease.holds(now) || !isolated || !repliesToSender) {
            return;
        }
        relinquishedToken_ = context_.lease.relinquish(now);
        context_.host.log(LogLevel::Warning,
                          "lease_yielded",
                          {{"fence", static_cast<std::int64_t>(relinquishedToken_)}, {"store_answers", request.instance.text()}});
    }

    /// Gives the lease back. The entry in the store stays: an instance that stops most often starts again.
    void leave()
    {
        const auto now = evloop::bootTimeNow();
        if (context_.lease.holds(now)) {
            const auto revision = context_.lease.revision();
            relinquishedToken_ = context_.lease.relinquish(now);
            const auto released = leadership::encodeLease(InstanceName{}, relinquishedToken_, 0);
            context_.store.replace(
                leadership::leaseKey(), revision, released, context_.limits.storeTimeout, [](const Result<StoredObject> &) {});
            context_.host.log(LogLevel::Info, "lease_returned", {{"fence", static_cast<std::int64_t>(relinquishedToken_)}});
        }
        context_.lease.resign();
    }

    /// True once the records were read after the lease was taken.
    [[nodiscard]] bool recordsCurrent() const noexcept
    {
        return recordsCurrent_;
    }

    /// Fencing token of the lease that this process gave up by word; 0 for none.
    [[nodiscard]] std::uint64_t relinquishedToken() const noexcept
    {
        return relinquishedToken_;
    }

    /// Reads all records anew after the lease was taken.
    void readRecords()
    {
        const auto fencingToken = context_.lease.fencingToken();
        context_.renewStore.list(
            leadership::fleetKind(), context_.limits.storeTimeout, [this, fencingToken](const Result<StoreListing> &listing) {
                const auto now = evloop::bootTimeNow();
                if (!context_.lease.holds(now) || context_.lease.fencingToken() != fencingToken) {
                    return;
                }
                if (!listing) {
                    readRecords();
                    return;
                }
                context_.applyListing(*listing, now);
                recordsCurrent_ = true;
            });
    }

private:
    void onAcquired()
    {
        context_.host.log(LogLevel::Info, "lease_taken", {{"fence", static_cast<std::int64_t>(context_.lease.fencingToken())}});
        recordsCurrent_ = false;
        handlers_.acquired();
        readRecords();
    }

    void onLost()
    {
        context_.host.log(LogLevel::Warning, "lease_lost", {{"holder", context_.lease.holder().text()}});
        recordsCurrent_ = false;
        handlers_.lost();
    }

    LeadershipContext<Store> &context_;
    LeaseHandlers handlers_;
    bool recordsCurrent_ = false;
    bool heldAtTick_ = false;
    /// Last word of a holder that keeps its lease.
    TimePoint lastContactAt_;
    TimePoint readAt_;
    bool reading_ = false;
    std::uint64_t relinquishedToken_ = 0;
};

} // namespace cardamomstep::gateway
