// Checks the key with which a caller sends its requests.
#pragma once

#include "base/result.h"
#include "records/catalog.h"

#include <string>

namespace cardamomstep::entry {

/// Checks an Authorization header "Bearer KEY" against the customers in \a catalog; the error is ErrorKind::Unauthorized.
///
/// Without customers, callers need no key.
[[nodiscard]] Result<Success> authorizeCaller(const Catalog &catalog, const std::string &authorization);

} // namespace cardamomstep::entry
