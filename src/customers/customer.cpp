// Digests of customers' keys.
#include "customers/customer.h"

#include <openssl/evp.h>

namespace cardamomstep::customers {

const CustomerName &publicCallers()
{
    static const CustomerName name{"-"};
    return name;
}

KeyDigest KeyDigest::of(std::string_view key)
{
    KeyDigest digest;
    unsigned int length = 0;
    EVP_Digest(key.data(), key.size(), digest.bytes_.data(), &length, EVP_sha256(), nullptr);
    return digest;
}

std::string KeyDigest::shortText() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t shownBytes = 4;
    std::string text;
    for (std::size_t index = 0; index < shownBytes; ++index) {
        text += digits[bytes_[index] >> 4U];
        text += digits[bytes_[index] & 0xFU];
    }
    return text;
}

} // namespace cardamomstep::customers
