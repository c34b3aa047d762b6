// Percent-encoding of names inside a session token.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cardamomstep::impl {

/// Returns \a text with every byte other than letters, digits, `-`, `_` and `.` written as `%XX`.
[[nodiscard]] std::string percentEncoded(std::string_view text);

/// Decodes text that percentEncoded() returned; returns nothing for any other text.
[[nodiscard]] std::optional<std::string> percentDecoded(std::string_view text);

} // namespace cardamomstep::impl
