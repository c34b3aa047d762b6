// The text form of a key's digest, as records hold it.
#pragma once

#include <string>
#include <string_view>

namespace cardamomstep {

/// Returns the digest of \a key as "sha256:" and 64 hexadecimal digits.
[[nodiscard]] std::string keyDigestText(std::string_view key);

/// Returns true if \a text has the form that keyDigestText() returns.
[[nodiscard]] bool isKeyDigest(std::string_view text) noexcept;

/// Returns "sha256:" and the first eight digits of \a digest, which is all that messages and logs show of a key.
[[nodiscard]] std::string shortDigest(std::string_view digest);

} // namespace cardamomstep
