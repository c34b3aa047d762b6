// Percent-encoding of names, for session tokens and the paths and queries of requests.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cardamomstep {

/// Returns \a text with every byte other than letters, digits, `-`, `_` and `.` written as `%XX`.
[[nodiscard]] std::string percentEncoded(std::string_view text);

/// Decodes text that percentEncoded() returned; returns nothing for any other text.
[[nodiscard]] std::optional<std::string> percentDecoded(std::string_view text);

} // namespace cardamomstep
