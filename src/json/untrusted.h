// Parsing of JSON texts that other processes sent.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomstep::json {

/// Maximum nesting of arrays and objects in a text from another process. Values are copied, compared and written recursively, so that a
/// deeper one could overflow the stack.
inline constexpr std::size_t maxNesting = 64;

/// Returns true if no value in \a text is nested deeper than `maxNesting`; the text need not be valid.
[[nodiscard]] inline bool isNestedWithinLimit(std::string_view text) noexcept
{
    std::size_t depth = 0;
    bool inString = false;
    bool escaped = false;
    for (const char character : text) {
        if (inString) {
            const bool ends = character == '"' && !escaped;
            escaped = character == '\\' && !escaped;
            inString = !ends;
            continue;
        }
        if (character == '"') {
            inString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > maxNesting) {
                return false;
            }
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

/// Parses \a text; returns a discarded value if it is not valid JSON or is nested deeper than `maxNesting`.
[[nodiscard]] inline nlohmann::json parseUntrusted(std::string_view text)
{
    if (!isNestedWithinLimit(text)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

/// Parses \a text as parseUntrusted() does; returns null in place of a discarded value.
[[nodiscard]] inline nlohmann::json parseUntrustedOrNull(std::string_view text)
{
    auto value = parseUntrusted(text);
    return value.is_discarded() ? nlohmann::json() : value;
}

/// Returns the text in field \a key of \a object, which must be an object; nothing if the field is missing or has another type.
[[nodiscard]] inline std::optional<std::string> textIn(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? std::optional(found->get<std::string>()) : std::nullopt;
}

} // namespace cardamomstep::json
