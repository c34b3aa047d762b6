// The open transactions of one proxy, with the connections that they hold.
#pragma once

#include "owner/fwd.h"
#include "owner/memberconnections.h"
#include "requests/transactions.h"

#include <map>
#include <mutex>
#include <vector>

namespace cardamomstep {

/// Transactions of all groups that this proxy owns; safe for use by many threads.
class Transactions
{
public:
    /// A statement's hold on its transaction.
    struct Use {
        OpenTransaction transaction;
        MemberLinks::Lease lease;
    };

    Transactions(InstanceName owner, std::uint64_t seed);

    /// Adds a transaction that holds \a lease; errors as of TransactionRegistry::open().
    [[nodiscard]] Result<TransactionId> open(OpenTransaction transaction, const MemberLinks::Lease &lease);

    /// Begins a statement of \a id; errors as of TransactionRegistry::beginStatement().
    [[nodiscard]] Result<Use> begin(const TransactionId &id);

    /// Ends a statement of \a id that left it open.
    void end(const TransactionId &id);

    /// Removes \a id, which has ended; its connection may be given back.
    void close(const TransactionId &id);

    /// Takes in that the connection of \a use broke: the endpoint rolls the transaction back.
    void lost(const Use &use);

    /// Removes transactions over their limits; their connections must be closed.
    [[nodiscard]] std::vector<Use> expire();

    /// Removes the longest idle transaction of \a group, see TransactionRegistry::yieldIdle(); its connection must be closed.
    [[nodiscard]] std::optional<Use> yieldIdle(const GroupName &group);

    /// The group of an open transaction; none when it is not open.
    [[nodiscard]] std::optional<GroupName> groupOf(const TransactionId &id);

    /// Open transactions of \a group.
    [[nodiscard]] std::size_t countOf(const GroupName &group) const;

    [[nodiscard]] std::size_t size();

private:
    struct Pinned {
        OpenTransaction transaction;
        MemberLinks::Lease lease;
    };

    [[nodiscard]] std::optional<Use> unpin(const CloseTransaction &ended);

    mutable std::mutex mutex_;
    TransactionRegistry registry_;
    /// Process-wide names of pinned connections; pools of different members reuse theirs.
    ConnectionKey nextPin_ = 1;
    std::map<TransactionId, Pinned> pinned_;
};

} // namespace cardamomstep
