// A value or an error, for functions that report failure without exceptions.
#pragma once

#include "base/error.h"

#include <utility>
#include <variant>

namespace cardamomstep {

/// Holds either a \a T or an Error.
///
/// Example:
/// \code
/// const auto term = parseTerm("7.1f");
/// if (!term) {
///     return term.error();
/// }
/// use(*term);
/// \endcode
template<typename T>
class [[nodiscard]] Result
{
public:
    Result(T value) // NOLINT(google-explicit-constructor): lets a function return a plain value
        : state_(std::in_place_index<0>, std::move(value))
    {
    }

    Result(Error error) // NOLINT(google-explicit-constructor): lets a function return a plain error
        : state_(std::in_place_index<1>, std::move(error))
    {
    }

    /// Returns true if a value is held.
    [[nodiscard]] explicit operator bool() const noexcept
    {
        return state_.index() == 0;
    }

    /// Returns the value; requires that one is held.
    [[nodiscard]] const T &operator*() const &noexcept
    {
        return *std::get_if<0>(&state_);
    }
    [[nodiscard]] T &operator*() &noexcept
    {
        return *std::get_if<0>(&state_);
    }
    [[nodiscard]] T &&operator*() &&noexcept
    {
        return std::move(*std::get_if<0>(&state_));
    }
    [[nodiscard]] const T *operator->() const noexcept
    {
        return std::get_if<0>(&state_);
    }
    [[nodiscard]] T *operator->() noexcept
    {
        return std::get_if<0>(&state_);
    }

    /// Returns the error; requires that no value is held.
    [[nodiscard]] const Error &error() const noexcept
    {
        return *std::get_if<1>(&state_);
    }

private:
    std::variant<T, Error> state_;
};

/// The value type of an operation that has no result besides its success.
using Success = std::monostate;

} // namespace cardamomstep
