// Percent-encoding of paths and queries.
#include "http/impl/urltext.h"

#include <cctype>
#include <charconv>

namespace cardamomstep::http::impl {

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    for (auto &character : result) {
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
    return result;
}

std::string decodeUrl(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned value = 0;
        const auto *digits = text.data() + index + 1;
        const bool escaped =
            text[index] == '%' && index + 2 < text.size() && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2;
        if (escaped) {
            result.push_back(static_cast<char>(value));
            index += 2;
        } else {
            result.push_back(text[index] == '+' ? ' ' : text[index]);
        }
    }
    return result;
}

std::string encodeUrl(std::string_view text)
{
    constexpr std::string_view hex = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-_.~/";
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || unreserved.find(character) != std::string_view::npos) {
            result.push_back(character);
        } else {
            result.push_back('%');
            result.push_back(hex[byte >> 4U]);
            result.push_back(hex[byte & 15U]);
        }
    }
    return result;
}

std::map<std::string, std::string> parseQuery(std::string_view text)
{
    std::map<std::string, std::string> result;
    while (!text.empty()) {
        const auto end = text.find('&');
        const auto pair = text.substr(0, end);
        const auto equals = pair.find('=');
        const auto value = equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        result[decodeUrl(pair.substr(0, equals))] = decodeUrl(value);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return result;
}

std::string formatQuery(const std::map<std::string, std::string> &query)
{
    std::string result;
    for (const auto &[name, value] : query) {
        result += result.empty() ? "" : "&";
        result += encodeUrl(name) + "=" + encodeUrl(value);
    }
    return result;
}

} // namespace cardamomstep::http::impl
