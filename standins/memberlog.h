// A stand-in member's log, with the rows and the request ids that follow from it.
#pragma once

#include "base/logposition.h"
#include "rows.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomstep::standins {

/// One entry: a whole statement or transaction.
struct Entry {
    Term term;
    std::vector<Operation> operations;
    std::string requestId;
    std::uint64_t fingerprint = 0;
    nlohmann::json rows = nlohmann::json::array();
    /// Microseconds of the machine's steady clock when the primary wrote it.
    std::int64_t writtenAt = 0;
};

/// \a entry as it goes over the wire and into the state file.
[[nodiscard]] nlohmann::json toJson(const Entry &entry);
[[nodiscard]] Entry entryFromJson(const nlohmann::json &json);

/// The log; positions count from 1.
///
/// Rows and request ids always are what the entries say.
class MemberLog
{
public:
    [[nodiscard]] Mark last() const;
    [[nodiscard]] std::uint64_t size() const noexcept
    {
        return entries_.size();
    }

    /// Term of the entry at \a position; the lowest term for position 0.
    [[nodiscard]] Term termAt(std::uint64_t position) const;
    [[nodiscard]] Mark markAt(std::uint64_t position) const;

    /// The entry at \a position, from 1 to size().
    [[nodiscard]] const Entry &at(std::uint64_t position) const
    {
        return entries_[position - 1];
    }

    /// Greatest position up to \a limit with a term of at most \a term.
    [[nodiscard]] std::uint64_t lastPositionUpTo(std::uint64_t limit, const Term &term) const;

    /// Position of the entry with this request id; 0 when there is none.
    [[nodiscard]] std::uint64_t findRequest(const std::string &requestId) const;

    [[nodiscard]] const Rows &rows() const noexcept
    {
        return rows_;
    }

    /// Position of the last entry that changed \a key; 0 when none did.
    [[nodiscard]] std::uint64_t lastChangeOf(const std::string &key) const;

    void append(Entry entry);

    /// Drops all entries after \a position.
    void truncate(std::uint64_t position);

private:
    void apply(const Entry &entry, std::uint64_t position);

    std::vector<Entry> entries_;
    Rows rows_;
    std::unordered_map<std::string, std::uint64_t> requests_;
    std::unordered_map<std::string, std::uint64_t> changes_;
};

} // namespace cardamomstep::standins
