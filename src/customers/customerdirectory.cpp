// Builds the table of keys and their holders.
#include "customers/customerdirectory.h"

namespace cardamomstep::customers {

void CustomerDirectory::apply(const std::optional<std::vector<Customer>> &customers)
{
    holders_.clear();
    if (!customers) {
        return;
    }
    keysRequired_ = true;
    for (const auto &customer : *customers) {
        for (const auto &key : customer.keys) {
            const auto [holder, added] = holders_.try_emplace(key, customer.name);
            if (!added && holder->second != customer.name) {
                holder->second = CustomerName{};
            }
        }
    }
}

const CustomerName *CustomerDirectory::holderOf(const KeyDigest &key) const
{
    const auto found = holders_.find(key);
    return found == holders_.end() || found->second.empty() ? nullptr : &found->second;
}

} // namespace cardamomstep::customers
