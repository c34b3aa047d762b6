// Forward declarations of the entry slice: the callers' interface.
#pragma once

namespace cardamomstep::entry {

struct CallerLimits;
struct FleetSnapshot;
class CallerApi;
class Dispatcher;

} // namespace cardamomstep::entry
