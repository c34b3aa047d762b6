// Forward declarations of the leadership module: the fleet's lease, the groups' primaries, and changes of primary.
#pragma once

namespace cardamomstep::leadership {

struct GroupRecord;
class FleetLease;
class PrimaryTable;
class PrimaryFailureDetector;
class ProxyLiveness;
class PrimaryChange;

} // namespace cardamomstep::leadership
