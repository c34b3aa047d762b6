// The key of one endpoint connection within a proxy.
#pragma once

#include <cstdint>

namespace cardamomstep {

/// Identifies a connection to an endpoint in pools and transactions. Never reused within one process.
using ConnectionKey = std::uint64_t;

} // namespace cardamomstep
