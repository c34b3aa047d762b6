// Percent-encoding and its strict inverse.
#include "base/percent.h"

#include <cstddef>

namespace cardamomstep {

namespace {

constexpr std::string_view hexDigits = "0123456789ABCDEF";
constexpr unsigned lowNibble = 0x0fU;
constexpr std::size_t escapeLength = 3;

bool isPlain(char character)
{
    const bool alphanumeric =
        (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9');
    return alphanumeric || character == '-' || character == '_' || character == '.';
}

} // namespace

std::string percentEncoded(std::string_view text)
{
    std::string encoded;
    for (const char character : text) {
        if (isPlain(character)) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += hexDigits[byte >> 4U];
        encoded += hexDigits[byte & lowNibble];
    }
    return encoded;
}

std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string decoded;
    std::size_t index = 0;
    while (index < text.size()) {
        if (text[index] != '%') {
            if (!isPlain(text[index])) {
                return std::nullopt;
            }
            decoded += text[index];
            ++index;
            continue;
        }
        if (index + escapeLength > text.size()) {
            return std::nullopt;
        }
        const auto high = hexDigits.find(text[index + 1]);
        const auto low = hexDigits.find(text[index + 2]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        const auto character = static_cast<char>(high * hexDigits.size() + low);
        if (isPlain(character)) {
            return std::nullopt;
        }
        decoded += character;
        index += escapeLength;
    }
    return decoded;
}

} // namespace cardamomstep
