// The open transactions of one proxy and the connections pinned to them.
#pragma once

#include "owner/fwd.h"
#include "owner/memberconnections.h"
#include "requests/transactions.h"

#include <map>
#include <mutex>
#include <vector>

namespace cardamomstep {

/// The transactions of all groups that this proxy owns; safe for use by many threads.
class Transactions
{
public:
    /// A transaction and its connection, for the statement that runs in it or for the code that ends it.
    struct Use {
        OpenTransaction transaction;
        MemberConnections::CheckedOutConnection checkout;
    };

    Transactions(InstanceName owner, std::uint64_t seed);

    /// Adds a transaction and pins \a checkout to it; errors are those of TransactionRegistry::open().
    [[nodiscard]] Result<TransactionId> open(OpenTransaction transaction, const MemberConnections::CheckedOutConnection &checkout);

    /// Begins a statement in transaction \a id; errors are those of TransactionRegistry::beginStatement().
    [[nodiscard]] Result<Use> begin(const TransactionId &id);

    /// Ends a statement in transaction \a id, which stays open.
    void end(const TransactionId &id);

    /// Removes transaction \a id, which has ended; the caller releases or closes its connection.
    void close(const TransactionId &id);

    /// Removes the transaction of \a use, whose connection was lost: the endpoint rolls it back.
    void onConnectionLost(const Use &use);

    /// Removes and returns transactions that exceeded a time limit; their connections must be closed.
    [[nodiscard]] std::vector<Use> expire();

    /// Removes and returns the longest idle transaction of \a group, see TransactionRegistry::evictIdle(); its connection must be closed.
    [[nodiscard]] std::optional<Use> evictIdle(const GroupName &group);

    /// Returns the group of an open transaction; nothing when it is not open.
    [[nodiscard]] std::optional<GroupName> groupOf(const TransactionId &id);

    /// Returns the number of open transactions of \a group.
    [[nodiscard]] std::size_t countOf(const GroupName &group) const;

    [[nodiscard]] std::size_t size();

private:
    struct Pinned {
        OpenTransaction transaction;
        MemberConnections::CheckedOutConnection checkout;
    };

    [[nodiscard]] std::optional<Use> unpin(const CloseTransaction &ended);

    mutable std::mutex mutex_;
    TransactionRegistry registry_;
    /// The next key of a pinned connection. Keys are unique in the process, unlike the keys that each member's pool gives out.
    ConnectionKey nextPinKey_ = 1;
    std::map<TransactionId, Pinned> pinned_;
};

} // namespace cardamomstep
