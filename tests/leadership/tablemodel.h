// A model of one group's record, the proxies' entries and their primary tables, on a store that may return to an older copy.
#pragma once

#include "tableevent.h"

#include "leadership/fleetlease.h"
#include "leadership/grantepoch.h"
#include "leadership/primarytable.h"
#include "leadership/recordrecovery.h"
#include "store/storeepochs.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cardamomstep::leadership::test {

/// The store, the proxies, and which member was promoted last. Copyable, so that a search can branch.
class TableModel
{
public:
    static constexpr Milliseconds waits[] = {Milliseconds{100}, Milliseconds{800}, Milliseconds{2500}, Milliseconds{7500}};

    /// All proxies are registered, proxy 0 holds the lease, and the record names the first member.
    explicit TableModel(std::size_t proxies);

    [[nodiscard]] const std::string &violation() const noexcept
    {
        return violation_;
    }

    /// True when \a proxy may send statements to the group's primary.
    [[nodiscard]] bool usable(std::size_t proxy) const
    {
        return proxies_[proxy].table.primaryOf(group()).usable(now_);
    }

    [[nodiscard]] bool enabled(const TableEvent &event) const;

    void apply(const TableEvent &event);

private:
    static constexpr std::uint64_t maxEpoch = 3;
    static constexpr Milliseconds tableMargin{50};
    static constexpr Milliseconds promoteTimeout{1000};

    struct Stored {
        std::uint64_t revision = 0;
        std::optional<LeaseState> lease;
        std::optional<GroupRecord> record;
        /// Number of each proxy's entry.
        std::map<std::size_t, std::uint64_t> entries;
    };

    struct Change {
        GroupRecord record;
        TimePoint recordedAt;
        std::set<std::size_t> toQuiesce;
        bool promoted = false;
        MemberName member;
    };

    struct Proxy {
        FleetLease lease;
        StoreEpochs epochs;
        PrimaryTable table;
        RecordRecovery recovery;
        GrantEpoch grantEpoch;
        StoreEpoch tableEpoch;
        std::map<std::size_t, Revision> registry;
        Revision ownRevision;
        bool newFleet = false;
        bool held = false;
        bool recordsCurrent = false;
        std::optional<Change> change;
    };

    static GroupName group()
    {
        return GroupName{"g"};
    }

    static Proxy newProxy(std::size_t index, bool newFleet);

    [[nodiscard]] bool holds(const Proxy &proxy) const
    {
        return proxy.lease.holds(now_);
    }

    [[nodiscard]] const Proxy *holder() const
    {
        const auto found = std::find_if(proxies_.begin(), proxies_.end(), [this](const Proxy &proxy) { return holds(proxy); });
        return found == proxies_.end() ? nullptr : &*found;
    }

    Proxy *changingHolder();
    [[nodiscard]] const Proxy *changingHolder() const
    {
        return const_cast<TableModel *>(this)->changingHolder();
    }

    [[nodiscard]] StoreEpoch epoch() const noexcept
    {
        return StoreEpoch{epoch_};
    }

    void applyAt(TableEventKind kind, std::size_t index);

    // The store and its epoch

    void observeEpoch(Proxy &proxy);

    Stored &beginWrite();

    /// Writes the record if the stored one has the number of the expected revision; returns the new revision.
    std::optional<Revision> writeRecord(Proxy &proxy, GroupRecord record);

    void rise(std::size_t lostWrites);

    // Lease

    void contend(Proxy &proxy, std::size_t index);

    void noticeLostLease(Proxy &proxy);

    // Entries and tables

    void list(Proxy &proxy, std::size_t index);

    void registerSelf(Proxy &proxy, std::size_t index);

    static bool registeredIn(const Proxy &granting, std::size_t index, StoreEpoch epoch)
    {
        const auto found = granting.registry.find(index);
        return found != granting.registry.end() && found->second.epoch >= epoch;
    }

    void renewFromHolder(Proxy &proxy, std::size_t index);

    void renewFromPeer(Proxy &proxy, std::size_t index);

    // Lease holder

    void holderDuties(Proxy &proxy);

    void bootstrap(Proxy &proxy);

    static void accept(Proxy &proxy, GroupRecord record, Revision revision)
    {
        record.revision = revision;
        (void)proxy.table.accept(record);
    }

    [[nodiscard]] bool mayStartChange(const Proxy &proxy) const;

    void startChange(Proxy &proxy, std::size_t index);

    void quiesce(Proxy &proxy, std::size_t index);

    [[nodiscard]] bool mayPromote(const Proxy &proxy) const;

    void promote(Proxy &proxy);

    void publish(Proxy &proxy);

    void check();

    TimePoint now_{Seconds{1000}};
    std::vector<Proxy> proxies_;
    std::uint64_t epoch_ = 1;
    /// The store after each write; the last one is the present.
    std::vector<Stored> history_{Stored{}};
    MemberName leader_{"member-0"};
    std::uint64_t promotions_ = 0;
    std::string violation_;
};

} // namespace cardamomstep::leadership::test
