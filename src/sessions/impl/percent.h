// Percent-encoding of names inside a session token.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cardamomstep::impl {

/// \a text with all but letters, digits, `-`, `_` and `.` written as `%XX`.
[[nodiscard]] std::string percentEncoded(std::string_view text);

/// Reads what percentEncoded() wrote; nothing for any other text.
[[nodiscard]] std::optional<std::string> percentDecoded(std::string_view text);

} // namespace cardamomstep::impl
