// A TCP relay that delays, cuts or silences what passes through it.
#pragma once

#include "base/ids.h"

namespace cardamomstep::standins {

/// Settings of a relay.
struct RelayOptions {
    Address listen;
    Address target;
    /// Address that takes `/control/...` requests.
    Address control;
};

/// One relay; serves until the process ends.
///
/// Faults: `delayMs` and `jitterMs` (one way), `cut` (true refuses new connections and closes the open ones),
/// `silentOpen` (connections open now never move a byte again), `freeze` (nothing moves until it ends).
class Relay
{
public:
    explicit Relay(RelayOptions options);

    /// Returns only when an address cannot be bound.
    void run();

private:
    RelayOptions options_;
};

} // namespace cardamomstep::standins
