// A value or the list of all faults found while reading it.
#pragma once

#include "base/error.h"

#include <utility>
#include <variant>
#include <vector>

namespace cardamomstep {

/// Holds either a \a T or every fault that was found, so that all of them can be corrected at once.
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
    Checked(T value) // NOLINT(google-explicit-constructor): a function returns its value as it is
        : state_(std::in_place_index<0>, std::move(value))
    {
    }

    /// Holds \a faults, which must not be empty.
    Checked(std::vector<Error> faults) // NOLINT(google-explicit-constructor): a function returns its faults as they are
        : state_(std::in_place_index<1>, std::move(faults))
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

    /// Returns the faults, ordered by line; requires that no value is held.
    [[nodiscard]] const std::vector<Error> &faults() const noexcept
    {
        return *std::get_if<1>(&state_);
    }

private:
    std::variant<T, std::vector<Error>> state_;
};

} // namespace cardamomstep
