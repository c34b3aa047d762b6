// Percent-encoding of paths and queries.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace cardamomstep::http::impl {

/// Returns \a text with its ASCII letters in lower case.
[[nodiscard]] std::string lowerCase(std::string_view text);

/// Returns \a text with percent escapes and plus signs decoded; a malformed escape is left unchanged.
[[nodiscard]] std::string decodeUrl(std::string_view text);

/// Returns \a text with all characters percent-encoded except unreserved ones and "/".
[[nodiscard]] std::string encodeUrl(std::string_view text);

/// Parses a query such as "a=1&b=2" into decoded names and values.
[[nodiscard]] std::map<std::string, std::string> parseQuery(std::string_view text);

/// Formats \a query as "a=1&b=2", percent-encoded.
[[nodiscard]] std::string formatQuery(const std::map<std::string, std::string> &query);

} // namespace cardamomstep::http::impl
