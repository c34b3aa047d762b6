// Forward declarations of the gateway module: the I/O layer around the relay's decisions, on one event loop.
#pragma once

namespace cardamomstep::gateway {

struct MemberConnectionHandlers;

} // namespace cardamomstep::gateway
