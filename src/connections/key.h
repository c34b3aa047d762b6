// The name of one endpoint connection within a proxy.
#pragma once

#include <cstdint>

namespace cardamomstep {

/// A connection to an endpoint, as pools and transactions name it; never used twice in one process.
using ConnectionKey = std::uint64_t;

} // namespace cardamomstep
