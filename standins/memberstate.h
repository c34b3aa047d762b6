// The rules of a stand-in member for terms, its log and its transactions; see docs/design/member.md.
#pragma once

#include "memberlog.h"

#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomstep::standins {

/// A statement, begin, commit or rollback as received.
struct Call {
    std::string exchange;
    Term term;
    bool write = false;
    bool needsPrimary = false;
    Operation operation;
    std::string requestId;
    std::uint64_t fingerprint = 0;
    std::string transaction;
};

/// The result of a call; a refused call changed nothing.
struct CallResult {
    /// Name of the refusal on the wire; empty if the call ran.
    std::string refusal;
    std::string description;
    nlohmann::json rows = nlohmann::json::array();
    std::optional<LogPosition> logPosition;
    std::string transaction;
    /// True if the request id was in the log already and the stored result is returned.
    bool repeated = false;
    /// True if the call appended an entry to the log.
    bool changed = false;
};

/// The primary from which a replica pulls its log.
struct Primary {
    std::string name;
    std::string address;

    [[nodiscard]] bool operator==(const Primary &) const = default;
};

/// One member's durable and volatile state. Not thread-safe.
///
/// `adopted` never decreases. A primary leads at exactly the term `adopted`.
class MemberState
{
public:
    /// Starts as a replica; restores the state from \a stateFile and persists it there, unless that is empty.
    MemberState(std::string name, const std::string &stateFile);

    [[nodiscard]] const std::string &name() const noexcept
    {
        return name_;
    }
    [[nodiscard]] const Term &adopted() const noexcept
    {
        return adopted_;
    }
    [[nodiscard]] bool isPrimary() const noexcept
    {
        return isPrimary_;
    }
    [[nodiscard]] const MemberLog &log() const noexcept
    {
        return log_;
    }
    [[nodiscard]] const std::optional<Primary> &primary() const noexcept
    {
        return primary_;
    }
    [[nodiscard]] std::size_t openTransactions() const noexcept
    {
        return transactions_.size();
    }
    /// Number of statements and begins outside a transaction that arrived on a connection with an open transaction.
    [[nodiscard]] std::uint64_t mixedStatements() const noexcept
    {
        return mixedStatements_;
    }

    /// Adopts \a term, or returns false if a higher one was adopted. A newly adopted term ends the leadership.
    [[nodiscard]] bool adopt(const Term &term);
    /// Becomes primary at \a term and appends its start entry; returns false if \a term is not the adopted one or no
    /// term was adopted. \a now, here and below, is Entry::writtenAt of the entry.
    [[nodiscard]] bool lead(const Term &term, std::int64_t now);
    /// Follows \a primary at \a term, adopting the term if it is higher. Returns false for a lower term, for this member
    /// itself, or if it is primary at \a term.
    [[nodiscard]] bool follow(const Term &term, Primary primary);

    [[nodiscard]] CallResult execute(const Call &call, std::uint64_t connection, std::int64_t now);
    [[nodiscard]] CallResult begin(const Call &call, std::uint64_t connection);
    [[nodiscard]] CallResult commit(const Call &call, std::uint64_t connection, std::int64_t now);
    [[nodiscard]] CallResult rollback(const Call &call, std::uint64_t connection);

    /// Rolls back the open transaction of the closed \a connection.
    void closed(std::uint64_t connection);

    /// Stores \a entry after index \a previous in a replica's log. An entry of another term there is dropped first, with all
    /// after it; one of the same term stays.
    /// Returns false if the member no longer follows at \a term, or if \a previous is beyond the log's end.
    [[nodiscard]] bool replicate(const Term &term, std::uint64_t previous, Entry entry);

    /// Drops a replica's entries after \a index, if it still follows at \a term.
    void dropTail(const Term &term, std::uint64_t index);

private:
    struct Transaction {
        std::uint64_t connection = 0;
        std::vector<Operation> operations;
        std::map<std::string, std::optional<nlohmann::json>> changes;
        /// For each key used, the index of the last entry that had changed it.
        std::map<std::string, std::uint64_t> lastChangeSeen;
        nlohmann::json rows = nlohmann::json::array();
    };

    /// Returns the refusal of a write or primary read whose term differs from the one at which this member leads.
    [[nodiscard]] std::optional<CallResult> checkTerm(const Call &call) const;
    /// Returns the stored result of a request id that is in the log, or the refusal if its fingerprint differs.
    [[nodiscard]] std::optional<CallResult> storedResultOf(const Call &call) const;
    [[nodiscard]] CallResult executeInTransaction(const Call &call, std::uint64_t connection);
    [[nodiscard]] Transaction *findTransaction(const std::string &id, std::uint64_t connection);
    [[nodiscard]] bool hasTransaction(std::uint64_t connection) const;
    [[nodiscard]] bool rowsUnchanged(const Transaction &transaction) const;
    [[nodiscard]] LogPosition write(const Call &call, std::vector<Operation> operations, nlohmann::json rows, std::int64_t now);
    void append(Entry entry);
    void truncate(std::uint64_t index);
    void setAdopted(const Term &term);
    void setPrimary(std::optional<Primary> primary);
    void readState(const std::string &stateFile);
    void persist(const nlohmann::json &line);

    std::string name_;
    std::ofstream file_;
    Term adopted_;
    bool isPrimary_ = false;
    MemberLog log_;
    std::optional<Primary> primary_;
    std::map<std::string, Transaction> transactions_;
    std::uint64_t lastTransaction_ = 0;
    std::uint64_t mixedStatements_ = 0;
};

} // namespace cardamomstep::standins
