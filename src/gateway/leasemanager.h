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
    std::function<void()> taken;
    std::function<void()> lost;
};

/// Carries out what the lease's decisions ask of the store.
template<typename Store>
class LeaseKeeper
{
public:
    LeaseKeeper(LeaderContext<Store> &context, LeaseHandlers handlers)
        : context_(context)
        , handlers_(std::move(handlers))
    {
    }

    /// Renews or tries to take the lease, when it is time to.
    void keep(TimePoint now)
    {
        const bool wasHeld = std::exchange(heldAtTick_, context_.lease.holds(now));
        if (wasHeld && !heldAtTick_) {
            lost();
        }
        const auto write = context_.lease.next(now);
        if (!write) {
            return;
        }
        const auto value = leadership::encodeLease(context_.settings.instance, write->fence, write->renewals);
        const auto done = [this, now, write = *write](const Result<StoredObject> &stored) {
            const auto later = evloop::bootTimeNow();
            if (!stored) {
                context_.lease.writeFailed(stored.error().kind == ErrorKind::Conflict, later);
                return;
            }
            context_.storeAnsweredAt = later;
            const bool taken = !context_.lease.holds(later) || write.fence == 0;
            context_.lease.written(stored->version, now, later);
            if (taken) {
                took();
            }
        };
        if (write->expected.value == 0) {
            context_.store.create(leadership::leaseKey(), value, context_.limits.storeTimeout, done);
        } else {
            context_.store.replace(leadership::leaseKey(), write->expected, value, context_.limits.storeTimeout, done);
        }
    }

    /// Reads the stored lease, which few proxies need and only while no holder is heard of.
    void read(TimePoint now, bool everListed)
    {
        const bool reads = context_.tree.readsStore(context_.settings.instance) || !everListed
            || context_.random.below(context_.limits.leaseReadOdds) == 0;
        const bool needed = context_.lease.needsObservation() || now - heardAt_ >= context_.limits.leaseReadAfter;
        if (reading_ || !needed || now - readAt_ < context_.limits.leaseReadInterval) {
            return;
        }
        readAt_ = now;
        if (!reads && !context_.lease.needsObservation()) {
            return;
        }
        reading_ = true;
        context_.renewStore.list(leadership::leaseKind(), context_.limits.storeTimeout, [this](const Result<StoreListing> &listing) {
            reading_ = false;
            if (!listing) {
                return;
            }
            const auto later = evloop::bootTimeNow();
            context_.storeAnsweredAt = later;
            if (listing->objects.empty()) {
                context_.lease.observe(std::nullopt, later);
            }
            for (const auto &object : listing->objects) {
                context_.takeObject(object, later);
            }
        });
    }

    /// Takes in the lease as the store holds it; nothing when it holds none.
    void observe(const std::optional<leadership::LeaseState> &lease, TimePoint now)
    {
        const bool held = context_.lease.holds(now);
        const auto before = context_.lease.holder();
        context_.lease.observe(lease, now);
        if (lease && before != context_.lease.holder()) {
            context_.host.log(LogLevel::Info,
                              "lease_seen",
                              {{"holder", context_.lease.holder().text()},
                               {"before", before.text()},
                               {"fence", static_cast<std::int64_t>(lease->fence)}});
        }
        if (held && !context_.lease.holds(now)) {
            lost();
        }
    }

    /// Notes the word of a proxy on the lease that it or its source holds.
    void heard(const fleet::RenewReply &reply, TimePoint now)
    {
        context_.lease.yielded(reply.yieldedFence, now);
        context_.lease.heard(reply.lease, now);
        const bool kept = reply.lease.left > Milliseconds{0} && reply.yieldedFence != reply.lease.fence;
        if (reply.granted && kept) {
            heardAt_ = now;
        }
    }

    /// Gives the lease up where the store answers others but not this holder, which could order nothing.
    void yieldIfCutOff(const fleet::RenewRequest &request, TimePoint now)
    {
        const bool cutOff = now - context_.storeAnsweredAt >= context_.limits.storeSilence;
        const bool answersSender = request.sinceStore && *request.sinceStore < context_.limits.storeSilence / 2;
        if (!context_.lease.holds(now) || !cutOff || !answersSender) {
            return;
        }
        yieldedFence_ = context_.lease.yield(now);
        context_.host.log(LogLevel::Warning,
                          "lease_yielded",
                          {{"fence", static_cast<std::int64_t>(yieldedFence_)}, {"store_answers", request.instance.text()}});
    }

    /// Gives the lease back. The entry in the store stays: an instance that stops most often starts again.
    void leave()
    {
        const auto now = evloop::bootTimeNow();
        if (context_.lease.holds(now)) {
            const auto revision = context_.lease.revision();
            yieldedFence_ = context_.lease.yield(now);
            const auto released = leadership::encodeLease(InstanceName{}, yieldedFence_, 0);
            context_.store.replace(
                leadership::leaseKey(), revision, released, context_.limits.storeTimeout, [](const Result<StoredObject> &) {});
            context_.host.log(LogLevel::Info, "lease_returned", {{"fence", static_cast<std::int64_t>(yieldedFence_)}});
        }
        context_.lease.resign();
    }

    /// True once the records were read after the lease was taken.
    [[nodiscard]] bool recordsCurrent() const noexcept
    {
        return recordsCurrent_;
    }

    /// Fencing token of the lease that this process gave up by word; 0 for none.
    [[nodiscard]] std::uint64_t yieldedFence() const noexcept
    {
        return yieldedFence_;
    }

    /// Reads all records anew after the lease was taken.
    void readRecords()
    {
        const auto fence = context_.lease.fence();
        context_.renewStore.list(leadership::fleetKind(), context_.limits.storeTimeout, [this, fence](const Result<StoreListing> &listing) {
            const auto now = evloop::bootTimeNow();
            if (!context_.lease.holds(now) || context_.lease.fence() != fence) {
                return;
            }
            if (!listing) {
                readRecords();
                return;
            }
            context_.takeListing(*listing, now);
            recordsCurrent_ = true;
        });
    }

private:
    void took()
    {
        context_.host.log(LogLevel::Info, "lease_taken", {{"fence", static_cast<std::int64_t>(context_.lease.fence())}});
        recordsCurrent_ = false;
        handlers_.taken();
        readRecords();
    }

    void lost()
    {
        context_.host.log(LogLevel::Warning, "lease_lost", {{"holder", context_.lease.holder().text()}});
        recordsCurrent_ = false;
        handlers_.lost();
    }

    LeaderContext<Store> &context_;
    LeaseHandlers handlers_;
    bool recordsCurrent_ = false;
    bool heldAtTick_ = false;
    /// Last word of a holder that keeps its lease.
    TimePoint heardAt_;
    TimePoint readAt_;
    bool reading_ = false;
    std::uint64_t yieldedFence_ = 0;
};

} // namespace cardamomstep::gateway
