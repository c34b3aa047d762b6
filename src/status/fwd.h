// Forward declarations of the status slice: what the system writes back as records.
#pragma once

namespace cardamomstep {

struct DuePlan;
struct PlanObservation;
struct PendingStatus;
class StatusQueue;

} // namespace cardamomstep
