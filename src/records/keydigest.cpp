// Formats and checks digests of customers' keys.
#include "records/keydigest.h"

#include "customers/customer.h"

#include <algorithm>

namespace cardamomstep {

namespace {

constexpr std::string_view prefix = "sha256:";
constexpr std::string_view digits = "0123456789abcdef";
constexpr std::size_t shownDigits = 8;

} // namespace

std::string keyDigestText(std::string_view key)
{
    std::string text(prefix);
    const auto digest = customers::KeyDigest::of(key);
    for (const auto byte : digest.bytes()) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

bool isKeyDigest(std::string_view text) noexcept
{
    const bool sized = text.size() == prefix.size() + 2 * customers::KeyDigest::size && text.substr(0, prefix.size()) == prefix;
    return sized && std::all_of(text.begin() + prefix.size(), text.end(), [](char digit) { return digits.find(digit) != digits.npos; });
}

std::string shortDigest(std::string_view digest)
{
    return std::string(digest.substr(0, prefix.size() + shownDigits));
}

} // namespace cardamomstep
