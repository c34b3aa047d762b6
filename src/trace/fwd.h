// Forward declarations of the trace slice: recorded inputs and actions of decision machines, and their replay.
#pragma once

namespace cardamomstep::trace {

struct GroupStart;
struct GroupStep;
struct ReplayReport;

} // namespace cardamomstep::trace
