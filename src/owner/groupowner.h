// The owner of one database group on this proxy: carries its statements and looks after its primary.
#pragma once

#include "groups/peerobservation.h"
#include "owner/fwd.h"
#include "owner/options.h"
#include "owner/transactions.h"
#include "requests/transactions.h"
#include "statements/statement.h"

#include <memory>
#include <optional>

namespace cardamomstep {

namespace impl {
class GroupCore;
}

/// What the metrics and status pages show of a group.
struct GroupSnapshot {
    GroupName group;
    std::optional<PrimaryView> primary;
    std::vector<MemberReport> reports;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t openConnections = 0;
};

/// One owned group; safe for use by many threads.
class GroupOwner
{
public:
    /// Begins to watch the group. \a transactions outlives this owner.
    GroupOwner(GroupOwnerOptions options, GroupEvents events, Transactions &transactions);
    GroupOwner(const GroupOwner &) = delete;
    GroupOwner &operator=(const GroupOwner &) = delete;

    /// Stops; statements in flight finish first.
    ~GroupOwner();

    /// Runs \a statement and answers by \a deadline; blocks meanwhile.
    [[nodiscard]] Answer run(const Statement &statement, TimePoint deadline);

    /// Takes in the current owners of the group, with this proxy's place among them.
    void setHolders(const std::vector<InstanceName> &holders, unsigned rank);

    /// Takes in how often to report.
    void setPolicy(const GroupPolicy &policy);

    /// Takes in what another owner knows.
    void onPeerSighting(const InstanceName &peer, const PeerSighting &sighting);

    /// Takes in that another owner holds writes for \a span; zero releases them.
    void hold(Milliseconds span);

    /// Takes in the members that are to get no new work; see moveLeavingPrimary() for a primary.
    void setLeaving(const std::vector<MemberName> &leaving);

    /// The primary, when it was told to leave.
    [[nodiscard]] std::optional<MemberName> leavingPrimary() const;

    /// Has the leaving primary replaced; to be called once no transaction of the group is open at any of its owners.
    void moveLeavingPrimary();

    /// Closes the connection of a transaction that expired.
    void closeConnection(const Transactions::Use &use);

    /// True while a request waits for one of the connections that transactions hold.
    [[nodiscard]] bool waitsForConnection() const;

    /// What to tell the other owners.
    [[nodiscard]] PeerSighting sighting() const;

    /// Members at which this proxy has statements or transactions.
    [[nodiscard]] std::vector<MemberName> busyMembers() const;

    [[nodiscard]] GroupSnapshot snapshot() const;

private:
    std::shared_ptr<impl::GroupCore> core_;
    Transactions &transactions_;
};

} // namespace cardamomstep
