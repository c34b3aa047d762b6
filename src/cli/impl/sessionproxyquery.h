// Queries a session proxy at its metrics address.
#pragma once

#include "base/ids.h"
#include "http/message.h"
#include "json/checked.h"

#include <nlohmann/json.hpp>

namespace cardamomstep::cli::impl {

/// Returns the JSON object that the session proxy at its metrics \a address replies to \a request, which needs no token.
[[nodiscard]] Checked<nlohmann::json> querySessionProxy(const Address &address, const http::Request &request);

} // namespace cardamomstep::cli::impl
