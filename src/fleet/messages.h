// Messages between session proxies, as plain values.
#pragma once

#include "leadership/downstreamproxies.h"
#include "leadership/fleetlease.h"
#include "leadership/record.h"
#include "leadership/recorddelta.h"
#include "store/catalogrevisions.h"
#include "store/catalogsource.h"
#include "store/objecthistory.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstep::fleet {

/// Whether a part of the catalog comes with its objects.
enum class RelayedContent : std::uint8_t {
    Sent,
    Deferred, ///< A later reply brings the objects.
    Withheld, ///< The objects are too large; the receiver lists them from the store.
};

/// A part of the catalog, as the sender has it.
struct RelayedPart {
    CatalogPart part = CatalogPart::Configuration;
    /// What the receiver lacks; empty unless `content` is Sent.
    RelayedObjects objects;
    RelayedContent content = RelayedContent::Sent;
    /// The sender knew all changes that were made until this time before the reply.
    Milliseconds age{0};
};

/// Requests the primary table from the lease holder, or from a proxy that renews its own there, and reports observations.
struct RenewRequest {
    InstanceName instance;
    std::vector<leadership::PrimaryObservation> observations;
    /// Time since the store last replied to the sender; nothing when it never did.
    std::optional<Milliseconds> sinceStoreReply;
    /// Proxies that renew their primary tables at the sender, directly or over others, once per second; the lease holder counts this as
    /// contact with them.
    std::vector<leadership::DownstreamProxy> downstreamProxies;
    /// Newest catalog revisions that the sender knows, or that other proxies reported to it.
    CatalogRevisions catalogRevisions;
    /// The revisions up to which the sender knows all changes; nothing if it wants no part of the catalog.
    std::optional<CatalogRevisions> held;
    /// The set of records that the sender has.
    leadership::RecordSetId knownRecords;
};

/// The sender's primary table, and the lease as far as the sender knows it.
struct RenewReply {
    /// True if the receiver may use `records`, which were current `age` before the reply was sent.
    bool granted = false;
    Milliseconds age{0};
    /// Differences from the set of records that the receiver has; without content unless `granted`.
    leadership::RecordDelta records;
    /// The epoch of the store under which the records were granted; they are forwarded only to proxies that are registered in it.
    StoreEpoch tableEpoch;
    leadership::LeaseReport lease;
    /// Time since the store last replied to the lease holder; set only if the lease holder itself sends this reply.
    std::optional<Milliseconds> leaseHolderSinceStoreReply;
    /// Newest catalog revisions that the sender knows, or that other proxies reported to it.
    CatalogRevisions catalogRevisions;
    /// Fencing token of a lease that the sender held and relinquished; the store may still name the sender as the holder. 0 for none.
    std::uint64_t relinquishedToken = 0;
    /// Parts of the catalog that the receiver lacks.
    std::vector<RelayedPart> catalog;
    /// Time since the store last confirmed the sender's catalog; nothing when it never did.
    std::optional<Milliseconds> catalogAge;
};

/// A newer record of one group, sent by the lease holder.
struct Announcement {
    leadership::GroupRecord record;
    /// How long the receiver may wait for statements in flight at the old primary before it replies.
    Milliseconds drainTimeout{0};
};

/// Reply to an announcement: what the receiver has acknowledged to callers in that group.
struct QuiesceReply {
    /// Highest log position acknowledged.
    LogPosition acknowledged;
    /// Time since the receiver started; a process that restarted does not know what it acknowledged before.
    Milliseconds uptime{0};
};

/// Requests tokens of a customer's rate limit.
struct BorrowRequest {
    CustomerName customer;
    /// Number of operations.
    std::uint32_t wanted = 0;
};

/// Number of tokens that the sender gave up.
struct BorrowReply {
    std::uint32_t granted = 0;
};

} // namespace cardamomstep::fleet
