// The closed list of error kinds and the table from each kind to the answer a caller gets.
#pragma once

#include <cstdint>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace cardamomstep {

/// Whether a request took effect, as far as the answer can say truthfully.
enum class Ran : std::uint8_t {
    No, ///< It did not take effect and never will.
    Yes, ///< It took effect.
    Unknown, ///< It may have taken effect, or may still; its request id tells later.
};

/// Every way in which a request, record, setting or command can fail.
enum class ErrorKind : std::uint8_t {
    // Input
    MalformedRequest,
    UnsupportedVersion,
    TooLarge,
    Unauthorized,
    UnknownService,
    UnknownGroup,
    NotFound,
    InvalidToken,
    TokenAhead,
    RequestIdReused,
    InvalidRecord,
    InvalidSettings,
    UnreadableForm,
    Conflict,
    // Capacity and time
    Overloaded,
    WindowTooShort,
    Draining,
    NotReady,
    // Database groups
    NoPrimary,
    NotFresh,
    StatementFailed,
    StatementTimeout,
    UnknownStatement,
    Superseded,
    OutcomeUnknown,
    TransactionUnknown,
    TransactionAborted,
    CorruptAnswer,
    EndpointUnreachable,
    // Platform and system
    StoreUnavailable,
    StoreOutcomeUnknown,
    PeerUnreachable,
    PlanRefused,
    Internal,
};

/// Number of error kinds.
inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::Internal) + 1;

/// The answer that belongs to an error kind.
struct AnswerRule {
    ErrorKind kind;
    /// Stable name in answers and logs.
    std::string_view name;
    /// HTTP status of the answer.
    int status;
    /// What the answer promises, unless the place that failed knows better.
    Ran ran;
    /// True when the same request may succeed later; the answer then says when to come back.
    bool retryable;
    /// One sentence for people.
    std::string_view summary;
};

/// The rule for \a kind.
[[nodiscard]] const AnswerRule &answerRule(ErrorKind kind) noexcept;

/// Finds the kind with the given stable \a name; returns false when there is none.
[[nodiscard]] bool errorKindFromName(std::string_view name, ErrorKind &kind) noexcept;

/// "no", "yes" or "unknown".
[[nodiscard]] std::string_view toText(Ran ran) noexcept;

/// The `std::error_category` of ErrorKind.
[[nodiscard]] const std::error_category &errorCategory() noexcept;

/// Makes a `std::error_code` of \a kind; values are 1 and up, since 0 means success.
[[nodiscard]] std::error_code
make_error_code(ErrorKind kind) noexcept; // NOLINT(readability-identifier-naming): name set by the standard library

} // namespace cardamomstep

template<>
struct std::is_error_code_enum<cardamomstep::ErrorKind> : std::true_type {
};
