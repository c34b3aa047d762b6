// Acquires, renews, reads and relinquishes the fleet's lease in the store.
#pragma once

#include "evloop/clock.h"
#include "fleet/messages.h"
#include "gateway/leadershipcontext.h"
#include "leadership/recordjson.h"

#include <functional>
#include <utility>

namespace cardamomstep::gateway {

/// Called when this process acquires or loses the lease.
struct LeaseHandlers {
    std::function<void()> acquired;
    std::function<void()> lost;
};

/// Makes the store calls that FleetLease decides on.
template<typename Store>
class LeaseManager
{
public:
    LeaseManager(LeadershipContext<Store> &context, LeaseHandlers handlers)
        : context_(context)
        , handlers_(std::move(handlers))
    {
    }

    /// Renews the lease, or tries to acquire it, when that is due.
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
        const auto value = leadership::encodeLease(context_.settings.instance, write->fencingToken, write->renewals, write->epoch);
        const auto done = [this, now, write = *write](const Result<StoredObject> &stored) {
            const auto repliedAt = evloop::bootTimeNow();
            if (!stored) {
                context_.lease.writeFailed(write.id, stored.error().kind == ErrorKind::Conflict, repliedAt);
                return;
            }
            context_.lastStoreReplyAt = repliedAt;
            const auto result = context_.lease.written(write.id, stored->version, now, repliedAt);
            if (result == leadership::LeaseWriteResult::Acquired) {
                onAcquired();
            } else if (result == leadership::LeaseWriteResult::Superseded) {
                onSuperseded(write, stored->version);
            }
        };
        if (write->expected.value == 0) {
            context_.store.create(leadership::leaseKey(), value, context_.limits.storeTimeout, done);
        } else {
            context_.store.replace(leadership::leaseKey(), write->expected, value, context_.limits.storeTimeout, done);
        }
    }

    /// Reads the stored lease when FleetLease requires it or no valid lease was reported for `leaseReadAfter`.
    ///
    /// In the second case, once the fleet was listed, only the proxies that read the store for others do so, and the rest at random times.
    void read(TimePoint now, bool fleetListed)
    {
        const bool selected = context_.renewalTree.readsStore(context_.settings.instance) || !fleetListed
            || context_.random.below(context_.limits.leaseReadOdds) == 0;
        const bool needed = context_.lease.needsRead() || now - lastContactAt_ >= context_.limits.leaseReadAfter;
        if (readPending_ || !needed || now - readAt_ < context_.limits.leaseReadInterval) {
            return;
        }
        readAt_ = now;
        if (!selected && !context_.lease.needsRead()) {
            return;
        }
        readPending_ = true;
        context_.readStore.list(leadership::leaseKind(), context_.limits.storeTimeout, [this](const Result<StoreListing> &listing) {
            readPending_ = false;
            if (!listing) {
                return;
            }
            const auto repliedAt = evloop::bootTimeNow();
            context_.lastStoreReplyAt = repliedAt;
            if (listing->objects.empty()) {
                onStoredLease(std::nullopt, listing->revision.epoch, repliedAt);
            }
            for (const auto &object : listing->objects) {
                context_.applyObject(object, repliedAt);
            }
        });
    }

    /// Applies the lease as stored in \a epoch; std::nullopt when none is stored.
    void onStoredLease(const std::optional<leadership::LeaseState> &lease, StoreEpoch epoch, TimePoint now)
    {
        const bool held = context_.lease.holds(now);
        const auto previousHolder = context_.lease.holder();
        context_.lease.onStoredLease(lease, epoch, now);
        if (lease && previousHolder != context_.lease.holder()) {
            context_.host.log(LogLevel::Info,
                              "lease_seen",
                              {{"holder", context_.lease.holder().text()},
                               {"before", previousHolder.text()},
                               {"fence", static_cast<std::int64_t>(lease->fencingToken)}});
        }
        if (held && !context_.lease.holds(now)) {
            onLost();
        }
    }

    /// Applies the lease state that a proxy reported in its reply to a renewal.
    void onRenewReply(const fleet::RenewReply &reply, TimePoint now)
    {
        context_.lease.onRelinquished(reply.relinquishedToken, now);
        context_.lease.onLeaseReport(reply.lease, now);
        const bool kept = reply.lease.remaining > Milliseconds{0} && reply.relinquishedToken != reply.lease.fencingToken;
        if (reply.granted && kept) {
            lastContactAt_ = now;
        }
    }

    /// Relinquishes the lease when the store replies to the sender of \a request but not to this process.
    ///
    /// Without the store, this lease holder could not change any primary.
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

    /// Relinquishes the lease, also in the store so that others need not wait until it expires, and does not acquire it again.
    void leave()
    {
        const auto now = evloop::bootTimeNow();
        if (context_.lease.holds(now)) {
            const auto revision = context_.lease.revision();
            relinquishedToken_ = context_.lease.relinquish(now);
            returnLease(revision, relinquishedToken_);
            context_.host.log(LogLevel::Info, "lease_returned", {{"fence", static_cast<std::int64_t>(relinquishedToken_)}});
        }
        context_.lease.resign();
        leaving_ = true;
    }

    /// True once the records were read after the lease was acquired.
    [[nodiscard]] bool recordsCurrent() const noexcept
    {
        return recordsCurrent_;
    }

    /// Fencing token of the lease that this process relinquished last; 0 for none.
    [[nodiscard]] std::uint64_t relinquishedToken() const noexcept
    {
        return relinquishedToken_;
    }

    /// Reads all records again, and repeats that while calls fail and the lease is held.
    void readRecords()
    {
        const auto fencingToken = context_.lease.fencingToken();
        if (std::exchange(readingRecordsFor_, fencingToken) != fencingToken) {
            listRecords(fencingToken);
        }
    }

private:
    void listRecords(std::uint64_t fencingToken)
    {
        context_.readStore.list(
            leadership::fleetKind(), context_.limits.storeTimeout, [this, fencingToken](const Result<StoreListing> &listing) {
                const auto now = evloop::bootTimeNow();
                if (context_.lease.fencingToken() != fencingToken) {
                    return;
                }
                if (!context_.lease.holds(now)) {
                    readingRecordsFor_ = 0;
                    return;
                }
                if (!listing) {
                    listRecords(fencingToken);
                    return;
                }
                readingRecordsFor_ = 0;
                context_.applyListing(*listing, now);
                recordsCurrent_ = true;
            });
    }

    /// Writes to the store that the lease with \a fencingToken, stored at \a revision, has no holder; does nothing when the revision is
    /// not known, since the write would then replace any lease.
    void returnLease(Revision revision, std::uint64_t fencingToken)
    {
        if (revision.value == 0) {
            return;
        }
        const auto value = leadership::encodeLease(InstanceName{}, fencingToken, 0, revision.epoch);
        context_.store.replace(leadership::leaseKey(), revision, value, context_.limits.storeTimeout, [](const Result<StoredObject> &) {});
    }

    /// Handles the success of a write that no longer counts. A leaving process returns the lease that the write left in the store: the
    /// return that leave() requested was refused, because the write had changed the revision.
    void onSuperseded(const leadership::LeaseWrite &write, Revision revision)
    {
        const auto token = write.fencingToken == 0 ? leadership::fencingTokenOf(revision) : write.fencingToken;
        context_.host.log(LogLevel::Info, "lease_write_superseded", {{"fence", static_cast<std::int64_t>(token)}});
        if (leaving_ && write.epoch == revision.epoch) {
            relinquishedToken_ = token;
            returnLease(revision, token);
        }
    }

    void onAcquired()
    {
        context_.host.log(LogLevel::Info, "lease_taken", {{"fence", static_cast<std::int64_t>(context_.lease.fencingToken())}});
        recordsCurrent_ = false;
        readingRecordsFor_ = 0;
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
    /// Time of the last granted renewal that reported a valid lease.
    TimePoint lastContactAt_;
    TimePoint readAt_;
    bool readPending_ = false;
    std::uint64_t relinquishedToken_ = 0;
    /// Fencing token of the lease for which the records are being read; 0 for none.
    std::uint64_t readingRecordsFor_ = 0;
    bool leaving_ = false;
};

} // namespace cardamomstep::gateway
