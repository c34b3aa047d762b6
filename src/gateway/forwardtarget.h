// Where a session is passed on to.
#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace cardamomstep::gateway {

/// The proxy that serves a session, and how long its statements may take there.
struct ForwardTarget {
    Address proxy;
    Milliseconds statementTimeout{1000};
};

} // namespace cardamomstep::gateway
