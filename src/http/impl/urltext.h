// Percent coding of paths and queries.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace cardamomstep::http::impl {

/// \a text in lower case, ASCII letters only.
[[nodiscard]] std::string lowerCase(std::string_view text);

/// \a text with percent escapes and plus signs resolved; a broken escape stays as it is.
[[nodiscard]] std::string decodeUrl(std::string_view text);

/// \a text with all but unreserved letters (and "/" ) escaped.
[[nodiscard]] std::string encodeUrl(std::string_view text);

/// Splits "a=1&b=2" into decoded pairs.
[[nodiscard]] std::map<std::string, std::string> parseQuery(std::string_view text);

/// Joins \a query into "a=1&b=2", encoded.
[[nodiscard]] std::string formatQuery(const std::map<std::string, std::string> &query);

} // namespace cardamomstep::http::impl
