// The rules that a stand-in member keeps about terms, its log and its transactions; see docs/design/member.md.
#pragma once

#include "memberlog.h"

#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomstep::standins {

/// A statement, begin, commit or rollback as it came over the wire.
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

/// What a call gave; a refusal changed nothing.
struct CallResult {
    /// Name of the refusal on the wire; empty when the call ran.
    std::string refusal;
    std::string description;
    nlohmann::json rows = nlohmann::json::array();
    std::optional<LogPosition> logPosition;
    std::string transaction;
    bool repeated = false;
    bool changed = false;
};

/// Where a replica pulls its log from.
struct Primary {
    std::string name;
    std::string address;

    [[nodiscard]] bool operator==(const Primary &) const = default;
};

/// One member's durable and volatile state; the caller serialises access.
///
/// `adopted` never falls. A primary leads at exactly `adopted`.
class MemberState
{
public:
    /// Starts as a replica; reads and keeps \a stateFile when it is not empty.
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
    /// Statements outside a transaction that came over a connection with an open one.
    [[nodiscard]] std::uint64_t mixedStatements() const noexcept
    {
        return mixedStatements_;
    }

    [[nodiscard]] bool adopt(const Term &term);
    [[nodiscard]] bool lead(const Term &term, std::int64_t now);
    [[nodiscard]] bool follow(const Term &term, Primary primary);

    [[nodiscard]] CallResult execute(const Call &call, std::uint64_t connection, std::int64_t now);
    [[nodiscard]] CallResult begin(const Call &call, std::uint64_t connection);
    [[nodiscard]] CallResult commit(const Call &call, std::uint64_t connection, std::int64_t now);
    [[nodiscard]] CallResult rollback(const Call &call, std::uint64_t connection);

    /// Rolls back what the ended \a connection had open.
    void closed(std::uint64_t connection);

    /// Takes \a entry as the one after \a previous in a replica's log, when the log of \a term is still followed.
    /// Returns false when it is not, or when \a previous is not in the log.
    [[nodiscard]] bool replicate(const Term &term, std::uint64_t previous, Entry entry);

    /// Drops a replica's entries after \a position, when \a term is still followed.
    void dropTail(const Term &term, std::uint64_t position);

private:
    struct Transaction {
        std::uint64_t connection = 0;
        std::vector<Operation> operations;
        std::map<std::string, std::optional<nlohmann::json>> changes;
        /// For each key seen, the last entry that had changed it.
        std::map<std::string, std::uint64_t> lastChangeSeen;
        nlohmann::json rows = nlohmann::json::array();
    };

    [[nodiscard]] std::optional<CallResult> refusedByTerm(const Call &call) const;
    [[nodiscard]] std::optional<CallResult> repeated(const Call &call) const;
    [[nodiscard]] CallResult executeInTransaction(const Call &call, std::uint64_t connection);
    [[nodiscard]] Transaction *findTransaction(const std::string &id, std::uint64_t connection);
    [[nodiscard]] bool hasTransaction(std::uint64_t connection) const;
    [[nodiscard]] bool isStillCurrent(const Transaction &transaction) const;
    [[nodiscard]] LogPosition write(const Call &call, std::vector<Operation> operations, nlohmann::json rows, std::int64_t now);
    void append(Entry entry);
    void truncate(std::uint64_t position);
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
