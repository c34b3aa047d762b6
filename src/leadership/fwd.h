// Forward declarations of the leadership slice: who may promote, who leads each group, and how leadership moves.
#pragma once

namespace cardamomstep::leadership {

struct GroupRecord;
class FleetLease;
class PrimaryTable;
class PrimaryFailureDetector;
class ProxyLiveness;
class PrimaryChange;

} // namespace cardamomstep::leadership
