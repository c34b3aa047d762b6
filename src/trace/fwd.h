// Forward declarations of the trace module: recorded inputs and actions of state machines, and their replay.
#pragma once

namespace cardamomstep::trace {

struct GroupStart;
struct GroupStep;
struct ReplayReport;

} // namespace cardamomstep::trace
