// An error as a value: its kind, a description, where it was found and when to come back.
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

/// A place in a file that a person wrote.
struct SourcePosition {
    std::string file;
    /// Line, counted from 1; 0 when it is not known.
    std::uint32_t line = 0;
    /// Path of the key, for example "limits.callerConnections"; empty for the whole file.
    std::string key;

    [[nodiscard]] auto operator<=>(const SourcePosition &) const = default;
};

/// A failure, with all that its answer needs.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    /// One sentence on this very failure; never holds statement arguments.
    std::string description;
    /// Whether the request took effect; starts as the kind's own rule says.
    Ran ran = answerRule(kind).ran;
    /// When to come back, for kinds that may pass.
    std::optional<Milliseconds> retryAfter;
    /// Where in a file the fault stands, for settings and records.
    std::optional<SourcePosition> position;
    /// The current version, for ErrorKind::Conflict.
    std::optional<std::uint64_t> currentVersion;

    Error() = default;

    Error(ErrorKind errorKind, std::string text)
        : kind(errorKind)
        , description(std::move(text))
    {
    }

    /// This error with a time to come back.
    [[nodiscard]] Error withRetryAfter(Milliseconds wait) &&
    {
        retryAfter = wait;
        return std::move(*this);
    }

    /// This error with another statement on whether the request ran.
    [[nodiscard]] Error withRan(Ran value) &&
    {
        ran = value;
        return std::move(*this);
    }

    [[nodiscard]] bool operator==(const Error &) const = default;
};

/// Writes "name: description", with the source position in front when there is one.
std::ostream &operator<<(std::ostream &out, const Error &error);

} // namespace cardamomstep
