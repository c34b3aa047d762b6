// A stand-in member's log, with the rows and the request ids derived from it.
#pragma once

#include "base/logposition.h"
#include "rows.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomstep::standins {

/// One log entry: a whole statement or transaction.
struct Entry {
    Term term;
    std::vector<Operation> operations;
    std::string requestId;
    std::uint64_t fingerprint = 0;
    nlohmann::json rows = nlohmann::json::array();
    /// Microseconds of the host's steady clock at which the primary wrote the entry.
    std::int64_t writtenAt = 0;
};

/// Returns \a entry in the format of the wire and of the state file.
[[nodiscard]] nlohmann::json toJson(const Entry &entry);
[[nodiscard]] Entry entryFromJson(const nlohmann::json &json);

/// The log; indexes start at 1.
///
/// Rows and request ids always match the entries.
class MemberLog
{
public:
    [[nodiscard]] LogPosition last() const;
    [[nodiscard]] std::uint64_t size() const noexcept
    {
        return entries_.size();
    }

    /// Term of the entry at \a index; the lowest term for index 0.
    [[nodiscard]] Term termAt(std::uint64_t index) const;
    [[nodiscard]] LogPosition positionAt(std::uint64_t index) const;

    /// The entry at \a index, from 1 to size().
    [[nodiscard]] const Entry &at(std::uint64_t index) const
    {
        return entries_[index - 1];
    }

    /// Highest index up to \a limit whose entry has a term of at most \a term; 0 if there is none.
    [[nodiscard]] std::uint64_t lastIndexUpTo(std::uint64_t limit, const Term &term) const;

    /// Index of the entry with this request id; 0 if there is none.
    [[nodiscard]] std::uint64_t findRequest(const std::string &requestId) const;

    [[nodiscard]] const Rows &rows() const noexcept
    {
        return rows_;
    }

    /// Index of the last entry that changed \a key; 0 if none did.
    [[nodiscard]] std::uint64_t lastChangeOf(const std::string &key) const;

    void append(Entry entry);

    /// Drops all entries after \a index.
    void truncate(std::uint64_t index);

private:
    void apply(const Entry &entry, std::uint64_t index);

    std::vector<Entry> entries_;
    Rows rows_;
    std::unordered_map<std::string, std::uint64_t> requestIndexes_;
    std::unordered_map<std::string, std::uint64_t> lastChanges_;
};

} // namespace cardamomstep::standins
