// Splits a JSON text into the texts of its parts, without parsing them: a part that cannot be parsed does not affect the others.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace cardamomstep::json {

/// One field of an object; both texts point into the object's text.
struct RawField {
    /// The key as written between its quotes, escapes included.
    std::string_view key;
    std::string_view value;
};

/// Returns the fields of the object \a text; nothing if it is not an object or its brackets and quotes do not match.
///
/// The values need not be valid JSON. Strings may contain any bytes, and values may be nested to any depth.
[[nodiscard]] std::optional<std::vector<RawField>> rawFieldsOf(std::string_view text);

/// Returns the elements of the array \a text, as rawFieldsOf() does.
[[nodiscard]] std::optional<std::vector<std::string_view>> rawElementsOf(std::string_view text);

/// Returns the value of the first of \a fields with \a key; an empty text if there is none.
[[nodiscard]] std::string_view rawValueOf(const std::vector<RawField> &fields, std::string_view key) noexcept;

} // namespace cardamomstep::json
