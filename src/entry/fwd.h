// Forward declarations of the entry module: the callers' interface.
#pragma once

namespace cardamomstep::entry {

struct CallerLimits;
struct FleetSnapshot;
class CallerApi;
class Dispatcher;

} // namespace cardamomstep::entry
