// Terms and log positions: the order in which a database group's history is compared.
#pragma once

#include "base/fwd.h"
#include "base/result.h"

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace cardamomstep {

/// A term of leadership in one database group.
///
/// The proposer is drawn at random for each promotion attempt, so two attempts never share a term.
/// Terms are ordered by number first and by proposer second.
struct Term {
    /// Grows with each promotion; 0 means that no term is known.
    std::uint64_t number = 0;
    /// Tells attempts with the same number apart.
    std::uint64_t proposer = 0;

    [[nodiscard]] constexpr auto operator<=>(const Term &) const noexcept = default;
};

/// A place in a database group's log: the term of the last entry and its position.
///
/// Marks are ordered by term first. A log whose last entry has a higher term holds every acknowledged
/// entry of all lower terms, so `member >= wanted` is the whole test for freshness.
struct Mark {
    Term term;
    /// Number of entries in the log up to and including this one.
    std::uint64_t position = 0;

    [[nodiscard]] constexpr auto operator<=>(const Mark &) const noexcept = default;
};

/// \a term as text: the number, a dot, the proposer in hexadecimal, for example "7.1f".
[[nodiscard]] std::string toText(const Term &term);

/// \a mark as text: the term, a slash, the position, for example "7.1f/120".
[[nodiscard]] std::string toText(const Mark &mark);

/// Reads a term that toText() wrote; the error is ErrorKind::MalformedRequest.
[[nodiscard]] Result<Term> parseTerm(std::string_view text);

/// Reads a mark that toText() wrote; the error is ErrorKind::MalformedRequest.
[[nodiscard]] Result<Mark> parseMark(std::string_view text);

std::ostream &operator<<(std::ostream &out, const Term &term);
std::ostream &operator<<(std::ostream &out, const Mark &mark);

} // namespace cardamomstep
