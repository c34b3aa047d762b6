// Open transactions of one proxy: each is pinned to one connection until it ends.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "connections/key.h"
#include "requests/fwd.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstep {

/// Settings of a transaction registry.
struct TransactionLimits {
    /// Transactions open at once.
    std::size_t most = 1'000;
    /// Longest pause between two statements.
    Milliseconds idle{5'000};
    /// Longest pause while a request waits for a connection.
    Milliseconds idleUnderDemand{1'000};
    /// Longest time from begin to the end.
    Milliseconds total{30'000};
    /// Ended transactions that are remembered, to tell an abort from an unknown id.
    std::size_t remembered = 1'000;
};

/// An open transaction, as the shell needs it.
struct OpenTransaction {
    TransactionId id;
    GroupName group;
    MemberName member;
    ConnectionKey connection = 0;
    /// The member's own name for it.
    std::string memberTransaction;
    /// The primary's term when it began.
    Term term;
};

/// Close this connection, which rolls the transaction back.
struct CloseTransaction {
    TransactionId id;
    ConnectionKey connection = 0;

    [[nodiscard]] bool operator==(const CloseTransaction &) const = default;
};

/// Knows which connection belongs to which transaction.
///
/// Ids have the form `t1.OWNER.NONCE`, so any proxy can forward a statement to the owner. A connection belongs to at most one
/// transaction and a transaction runs one statement at a time, so statements never mix.
class TransactionRegistry
{
public:
    TransactionRegistry(InstanceName owner, std::uint64_t seed, const TransactionLimits &limits = {});

    /// The owner named in \a id; nothing when the id is malformed.
    [[nodiscard]] static std::optional<InstanceName> ownerOf(const TransactionId &id);

    /// Adds a transaction that began on \a transaction's connection; its id is set here.
    ///
    /// The errors are ErrorKind::Overloaded at the limit and ErrorKind::Internal for a connection that is pinned already.
    [[nodiscard]] Result<OpenTransaction> open(OpenTransaction transaction, TimePoint now);

    /// True when another transaction can be opened; to be asked before a begin is sent.
    [[nodiscard]] bool hasRoom() const noexcept;

    /// Begins a statement in the transaction.
    ///
    /// The errors are ErrorKind::TransactionUnknown, ErrorKind::TransactionAborted, and ErrorKind::Overloaded while another statement of
    /// the same transaction runs; nothing ran in any of these cases.
    [[nodiscard]] Result<OpenTransaction> beginStatement(const TransactionId &id, TimePoint now);

    /// Ends the statement that runs in the transaction.
    void endStatement(const TransactionId &id, TimePoint now);

    /// Removes a transaction that was committed or rolled back; the connection is free again.
    void close(const TransactionId &id);

    /// Takes in that a connection broke; its transaction is aborted. Returns its id, if it had one.
    std::optional<TransactionId> connectionLost(ConnectionKey connection);

    /// Aborts transactions over their limits, except while a statement runs; to be called at nextWake().
    [[nodiscard]] std::vector<CloseTransaction> wake(TimePoint now);

    /// Aborts the transaction of \a group that has been idle the longest, if it is over the limit for times of demand.
    [[nodiscard]] std::optional<CloseTransaction> yieldIdle(const GroupName &group, TimePoint now);

    /// When the first transaction reaches a limit.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return open_.size();
    }

private:
    struct Entry {
        OpenTransaction transaction;
        TimePoint began;
        TimePoint lastUsed;
        bool running = false;
    };

    [[nodiscard]] TimePoint expiryOf(const Entry &entry) const noexcept;
    void remember(const TransactionId &id);

    InstanceName owner_;
    Random random_;
    TransactionLimits limits_;
    std::map<TransactionId, Entry> open_;
    /// Invariant: maps each connection in open_ to its one transaction.
    std::map<ConnectionKey, TransactionId> byConnection_;
    /// Aborted transactions, oldest first; at most limits_.remembered.
    std::deque<TransactionId> aborted_;
};

} // namespace cardamomstep
