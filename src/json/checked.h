// A value or the list of all faults found while reading it.
#pragma once

#include "base/error.h"

#include <utility>
#include <variant>
#include <vector>

namespace cardamomstep {

/// Holds either a \a T or every fault that was found, so that a person mends them all at once.
///
/// Example:
/// \code
/// const auto settings = readSettings("proxy.json", text);
/// if (!settings) {
///     print(settings.faults());
/// }
/// \endcode
template<typename T>
class [[nodiscard]] Checked
{
public:
    Checked(T value) // NOLINT(google-explicit-constructor): a value is a result
        : state_(std::in_place_index<0>, std::move(value))
    {
    }

    /// Takes a list of faults, which must not be empty.
    Checked(std::vector<Error> faults) // NOLINT(google-explicit-constructor): faults are a result
        : state_(std::in_place_index<1>, std::move(faults))
    {
    }

    /// True when a value is held.
    [[nodiscard]] explicit operator bool() const noexcept
    {
        return state_.index() == 0;
    }

    /// The value; only when one is held.
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

    /// The faults in order of their lines; only when no value is held.
    [[nodiscard]] const std::vector<Error> &faults() const noexcept
    {
        return *std::get_if<1>(&state_);
    }

private:
    std::variant<T, std::vector<Error>> state_;
};

} // namespace cardamomstep
