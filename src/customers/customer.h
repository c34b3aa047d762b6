// A customer: its keys, known only by their digests, and its rate limit.
#pragma once

#include "base/ids.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep::customers {

/// The SHA-256 digest of a key; keys themselves are not kept.
class KeyDigest
{
public:
    static constexpr std::size_t size = 32;
    using Bytes = std::array<std::uint8_t, size>;

    KeyDigest() = default;

    /// Returns the digest of \a key.
    [[nodiscard]] static KeyDigest of(std::string_view key);

    /// Returns the first eight hexadecimal digits, which is all that logs may show of a key.
    [[nodiscard]] std::string shortText() const;

    [[nodiscard]] const Bytes &bytes() const noexcept
    {
        return bytes_;
    }

    [[nodiscard]] auto operator<=>(const KeyDigest &) const = default;

private:
    Bytes bytes_{};
};

/// How many operations a customer may begin over all proxies: in any time t at most `perSecond` * t + `burst`.
struct RateLimit {
    double perSecond = 0;
    double burst = 0;

    [[nodiscard]] bool operator==(const RateLimit &) const = default;
};

/// One customer of the accepted configuration.
struct Customer {
    CustomerName name;
    std::vector<KeyDigest> keys;
    /// Nothing if the customer is not limited.
    std::optional<RateLimit> limit;

    [[nodiscard]] bool operator==(const Customer &) const = default;
};

/// A fault in the customers of a configuration.
struct CustomerFault {
    /// Path of the faulty value, for example "customers[3].ratePerS".
    std::string position;
    std::string description;

    [[nodiscard]] bool operator==(const CustomerFault &) const = default;
};

/// Returns the name that stands for callers of public routes without a known key; no customer may have it.
[[nodiscard]] const CustomerName &publicCallers();

/// On whose behalf a session runs. Both are empty where callers need no key.
struct CallerIdentity {
    CustomerName customer;
    /// The digest of the key with which the session was opened; nothing if no customers were configured then.
    std::optional<KeyDigest> key;

    [[nodiscard]] bool operator==(const CallerIdentity &) const = default;
};

} // namespace cardamomstep::customers
