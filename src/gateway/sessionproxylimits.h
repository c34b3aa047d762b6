// Limits of a session proxy process.
#pragma once

#include "base/time.h"

namespace cardamomstep::gateway {

/// Limits of a SessionProxy.
struct SessionProxyLimits {
    /// Time between two writes of the log.
    Milliseconds logInterval{100};
    /// Time for which a stopping proxy still accepts new connections.
    Milliseconds acceptAfterStop{2500};
    /// Time after that for the connections that were accepted last.
    Milliseconds lastConnectionsGrace{250};
    /// Longest random delay before the store is listed again after it changed its epoch, so that a fleet does not list at once.
    Milliseconds epochListingSpread{400};
};

} // namespace cardamomstep::gateway
