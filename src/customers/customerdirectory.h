// Which customer holds a key, by the customers of the active configuration.
#pragma once

#include "customers/customer.h"

#include <cstddef>
#include <cstring>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cardamomstep::customers {

/// The holders of the keys in the active configuration.
///
/// Fails closed: once a configuration with customers was applied, callers need a key for good, also if a later configuration has none.
class CustomerDirectory
{
public:
    /// Replaces the customers by those of a newer configuration; nothing if it has none.
    void apply(const std::optional<std::vector<Customer>> &customers);

    /// Returns true once callers need a key.
    [[nodiscard]] bool keysRequired() const noexcept
    {
        return keysRequired_;
    }

    /// Returns the customer that holds \a key; null if none does or if several do.
    [[nodiscard]] const CustomerName *holderOf(const KeyDigest &key) const;

private:
    /// A digest is uniformly distributed, so that its first bytes are a hash value.
    struct DigestHash {
        [[nodiscard]] std::size_t operator()(const KeyDigest &digest) const noexcept
        {
            std::size_t hash = 0;
            std::memcpy(&hash, digest.bytes().data(), sizeof(hash));
            return hash;
        }
    };

    bool keysRequired_ = false;
    /// Empty names mark keys that several customers have.
    std::unordered_map<KeyDigest, CustomerName, DigestHash> holders_;
};

} // namespace cardamomstep::customers
