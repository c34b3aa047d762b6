// Forward declarations of the gateway slice: the shell around the relay's decisions, on one event loop.
#pragma once

namespace cardamomstep::gateway {

struct MemberConnectionHandlers;

} // namespace cardamomstep::gateway
