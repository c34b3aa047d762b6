// The proxy that a session is forwarded to.
#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace cardamomstep::gateway {

/// The proxy that serves a session, and the timeout of the session's statements there.
struct ForwardTarget {
    Address proxy;
    Milliseconds statementTimeout{1000};
};

} // namespace cardamomstep::gateway
