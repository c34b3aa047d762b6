// Percent-encoding of names inside a session token.
#include "sessions/impl/percent.h"

#include <cstddef>

namespace cardamomstep::impl {

namespace {

constexpr std::string_view hexDigits = "0123456789ABCDEF";
constexpr unsigned lowNibble = 0x0fU;
constexpr std::size_t escapeLength = 3;

bool isPlain(char letter)
{
    const bool alphanumeric = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
    return alphanumeric || letter == '-' || letter == '_' || letter == '.';
}

} // namespace

std::string percentEncoded(std::string_view text)
{
    std::string encoded;
    for (const char letter : text) {
        if (isPlain(letter)) {
            encoded += letter;
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        encoded += '%';
        encoded += hexDigits[byte >> 4U];
        encoded += hexDigits[byte & lowNibble];
    }
    return encoded;
}

std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string decoded;
    std::size_t at = 0;
    while (at < text.size()) {
        if (text[at] != '%') {
            if (!isPlain(text[at])) {
                return std::nullopt;
            }
            decoded += text[at];
            ++at;
            continue;
        }
        if (at + escapeLength > text.size()) {
            return std::nullopt;
        }
        const auto high = hexDigits.find(text[at + 1]);
        const auto low = hexDigits.find(text[at + 2]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        const auto letter = static_cast<char>(high * hexDigits.size() + low);
        if (isPlain(letter)) {
            return std::nullopt;
        }
        decoded += letter;
        at += escapeLength;
    }
    return decoded;
}

} // namespace cardamomstep::impl
