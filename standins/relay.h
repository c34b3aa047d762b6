// A TCP relay that delays, cuts, freezes or silences the connections through it.
#pragma once

#include "base/ids.h"

namespace cardamomstep::standins {

/// Options of a relay.
struct RelayOptions {
    Address listen;
    Address target;
    /// Address that serves `/control/...` requests.
    Address control;
};

/// One relay; serves connections until the process ends.
///
/// Faults: `delayMs` and `jitterMs` (one way), `cut` (true refuses new connections and closes the open ones),
/// `silentOpen` (currently open connections never forward a byte again), `freeze` (no bytes are forwarded until it is reset).
class Relay
{
public:
    explicit Relay(RelayOptions options);

    /// Serves connections; returns only if an address cannot be bound.
    void run();

private:
    RelayOptions options_;
};

} // namespace cardamomstep::standins
