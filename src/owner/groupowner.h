// The owner of one database group on this proxy: runs its statements and monitors its primary.
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

/// The state of a group that metrics and status pages show.
struct GroupSnapshot {
    GroupName group;
    std::optional<PrimaryInfo> primary;
    std::vector<MemberReport> reports;
    /// Requests that wait for a slot, and requests that have one, in both lanes together.
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t openConnections = 0;
};

/// One owned group; safe for use by many threads.
class GroupOwner
{
public:
    /// Starts to monitor the group. \a transactions must outlive this owner.
    GroupOwner(GroupOwnerOptions options, GroupOwnerHandlers handlers, Transactions &transactions);
    GroupOwner(const GroupOwner &) = delete;
    GroupOwner &operator=(const GroupOwner &) = delete;

    /// Stops monitoring and closes the connections. No run() may be in progress.
    ~GroupOwner();

    /// Runs \a statement and returns its answer, by \a deadline at the latest; blocks meanwhile.
    [[nodiscard]] Answer run(const Statement &statement, TimePoint deadline);

    /// Sets the current owners of the group and this proxy's rank among them; rank 0 acts first.
    void setOwners(const std::vector<InstanceName> &owners, unsigned rank);

    /// Sets the intervals and timeouts that the group's monitor uses.
    void setPolicy(const GroupPolicy &policy);

    /// Applies what another owner of the group observed.
    void onPeerObservation(const InstanceName &peer, const PeerObservation &observation);

    /// Pauses writes for \a span because another owner does; zero resumes them.
    void pauseWrites(Milliseconds span);

    /// Sets the members that get no new work. A primary among them is replaced by replaceLeavingPrimary().
    void setLeaving(const std::vector<MemberName> &leaving);

    /// Returns the primary if setLeaving() named it.
    [[nodiscard]] std::optional<MemberName> leavingPrimary() const;

    /// Requests a switchover away from the leaving primary; call it once none of the group's owners has an open transaction of the group.
    void replaceLeavingPrimary();

    /// Closes the connection of an expired or evicted transaction.
    void closeConnection(const Transactions::Use &use);

    /// Returns true while a request waits for a connection to a member.
    [[nodiscard]] bool waitsForConnection() const;

    /// Returns the observation to publish to the other owners.
    [[nodiscard]] PeerObservation observation() const;

    /// Returns the members at which this proxy has running statements or open transactions.
    [[nodiscard]] std::vector<MemberName> busyMembers() const;

    [[nodiscard]] GroupSnapshot snapshot() const;

private:
    std::shared_ptr<impl::GroupCore> core_;
    Transactions &transactions_;
};

} // namespace cardamomstep
