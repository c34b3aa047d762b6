// Forward declarations of the connections module.
#pragma once

namespace cardamomstep {

class ConnectionQuota;
class ConnectionPool;
class SilenceDetector;

} // namespace cardamomstep
