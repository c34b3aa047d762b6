// Terms and log positions, which order the history of a database group.
#pragma once

#include "base/fwd.h"
#include "base/result.h"

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace cardamomstep {

/// A leadership term of one database group.
///
/// The proposer is chosen at random for each promotion attempt, so two attempts never share a term.
/// Terms are ordered by number, then by proposer.
struct Term {
    /// Increases with each promotion; 0 if no term is known.
    std::uint64_t number = 0;
    /// Distinguishes attempts with the same number.
    std::uint64_t proposer = 0;

    [[nodiscard]] constexpr auto operator<=>(const Term &) const noexcept = default;
};

/// A position in a database group's log: the term of the last entry and its index.
///
/// Positions are ordered by term, then by index. A log whose last entry has a higher term contains every acknowledged
/// entry of all lower terms, so `member >= required` is a complete freshness check.
struct LogPosition {
    Term term;
    /// Number of entries in the log up to and including this one.
    std::uint64_t index = 0;

    [[nodiscard]] constexpr auto operator<=>(const LogPosition &) const noexcept = default;
};

/// Returns \a term as text: the number, a dot, the proposer in hexadecimal, for example "7.1f".
[[nodiscard]] std::string toText(const Term &term);

/// Returns \a position as text: the term, a slash, the index, for example "7.1f/120".
[[nodiscard]] std::string toText(const LogPosition &position);

/// Parses a term as written by toText(); the error is ErrorKind::MalformedRequest.
[[nodiscard]] Result<Term> parseTerm(std::string_view text);

/// Parses a log position as written by toText(); the error is ErrorKind::MalformedRequest.
[[nodiscard]] Result<LogPosition> parseLogPosition(std::string_view text);

std::ostream &operator<<(std::ostream &out, const Term &term);
std::ostream &operator<<(std::ostream &out, const LogPosition &position);

} // namespace cardamomstep
