// Tells whether an address refuses connections.
#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace cardamomstep::peer::impl {

/// Returns true if a connection to \a peer is refused, which shows that no process listens there. Any other outcome within \a timeout, such
/// as a connection that opens or one that gets no reply, leaves open whether the process is alive.
[[nodiscard]] bool refusesConnections(const Address &peer, Milliseconds timeout);

} // namespace cardamomstep::peer::impl
