// Forward declarations of the status module: the status records that the system writes to the store.
#pragma once

namespace cardamomstep {

struct EndpointPlan;
struct PlanObservation;
class StatusQueue;

} // namespace cardamomstep
