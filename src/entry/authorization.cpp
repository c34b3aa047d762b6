// Finds the customer of a caller's key.
#include "entry/authorization.h"

#include "records/keydigest.h"

#include <string_view>

namespace cardamomstep::entry {

Result<Success> authorizeCaller(const Catalog &catalog, const std::string &authorization)
{
    if (!catalog.hasCustomers()) {
        return Success{};
    }
    constexpr std::string_view scheme = "Bearer ";
    if (authorization.size() <= scheme.size() || authorization.compare(0, scheme.size(), scheme) != 0) {
        return Error{ErrorKind::Unauthorized, "the request has no header 'Authorization: Bearer KEY'"};
    }
    // Looked up by digest, so that the time it takes tells nothing about the keys.
    const auto digest = keyDigestText(std::string_view(authorization).substr(scheme.size()));
    if (!catalog.customerOf(digest)) {
        return Error{ErrorKind::Unauthorized, "no customer has the key " + shortDigest(digest)};
    }
    return Success{};
}

} // namespace cardamomstep::entry
