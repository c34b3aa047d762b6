// The error kinds and the table that maps each kind to the answer that a caller gets.
#pragma once

#include <cstdint>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace cardamomstep {

/// Whether a request took effect, as far as this process knows for certain.
enum class Ran : std::uint8_t {
    No, ///< It did not take effect and never will.
    Yes, ///< It took effect.
    Unknown, ///< It may have taken effect, or may still do so; the outcome can be queried by its request id.
};

/// The reason why a request, record, setting or command failed.
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
    LimitExceeded,
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

/// The number of error kinds.
inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::Internal) + 1;

/// How a failure of one kind is answered.
struct AnswerRule {
    ErrorKind kind;
    /// Stable name, used in answers and logs.
    std::string_view name;
    /// HTTP status of the answer.
    int status;
    /// Default of Error::ran; code that knows more about a failure overrides it.
    Ran ran;
    /// True if the same request may succeed later; the answer then has a retry-after time.
    bool retryable;
    /// One sentence for humans.
    std::string_view summary;
};

/// Returns the rule for \a kind.
[[nodiscard]] const AnswerRule &answerRule(ErrorKind kind) noexcept;

/// Sets \a kind to the kind with the stable \a name; returns false if there is none.
[[nodiscard]] bool errorKindFromName(std::string_view name, ErrorKind &kind) noexcept;

/// Returns "no", "yes" or "unknown".
[[nodiscard]] std::string_view toText(Ran ran) noexcept;

/// Returns the `std::error_category` of ErrorKind.
[[nodiscard]] const std::error_category &errorCategory() noexcept;

/// Returns the `std::error_code` of \a kind; its value is at least 1, since 0 means success.
[[nodiscard]] std::error_code
make_error_code(ErrorKind kind) noexcept; // NOLINT(readability-identifier-naming): name set by the standard library

} // namespace cardamomstep

template<>
struct std::is_error_code_enum<cardamomstep::ErrorKind> : std::true_type {
};
