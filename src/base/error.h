// An error as a value: its kind, a description, its source position and its retry-after time.
#pragma once

#include "base/errorkind.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

namespace cardamomstep {

/// A position in a hand-written file.
struct SourcePosition {
    std::string file;
    /// Line number, starting at 1; 0 if unknown.
    std::uint32_t line = 0;
    /// Path of the key, for example "limits.callerConnections"; empty for the whole file.
    std::string key;

    [[nodiscard]] auto operator<=>(const SourcePosition &) const = default;
};

/// A failure, with everything needed to answer the request.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    /// One sentence that describes this failure; never contains statement arguments.
    std::string description;
    /// Whether the request took effect; defaults to the value in the kind's answer rule.
    Ran ran = answerRule(kind).ran;
    /// Time after which the caller may retry, for temporary failures.
    std::optional<Milliseconds> retryAfter;
    /// Position of the fault in its file, for settings and records.
    std::optional<SourcePosition> position;
    /// Current version of the object, for ErrorKind::Conflict.
    std::optional<std::uint64_t> currentVersion;

    Error() = default;

    Error(ErrorKind errorKind, std::string text)
        : kind(errorKind)
        , description(std::move(text))
    {
    }

    /// Returns this error with \a wait as its retry-after time.
    [[nodiscard]] Error withRetryAfter(Milliseconds wait) &&
    {
        retryAfter = wait;
        return std::move(*this);
    }

    /// Returns this error with \a value as its `ran`.
    [[nodiscard]] Error withRan(Ran value) &&
    {
        ran = value;
        return std::move(*this);
    }

    [[nodiscard]] bool operator==(const Error &) const = default;
};

/// Writes "name: description", preceded by the source position if there is one.
std::ostream &operator<<(std::ostream &out, const Error &error);

} // namespace cardamomstep
