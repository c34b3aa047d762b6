// Forward declarations of the fleet slice: what session proxies tell each other.
#pragma once

namespace cardamomstep::fleet {

struct RenewRequest;
struct RenewReply;
struct Announcement;
struct QuiesceReply;
class FleetServer;
class FleetClient;

} // namespace cardamomstep::fleet
