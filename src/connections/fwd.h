// Forward declarations of the connections module.
#pragma once

namespace cardamomstep {

struct Holder;
class ConnectionQuota;
class ConnectionPool;
class SilenceDetector;

} // namespace cardamomstep
