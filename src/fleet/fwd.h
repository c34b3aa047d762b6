// Forward declarations of the fleet module: calls between session proxies.
#pragma once

namespace cardamomstep::fleet {

struct RenewRequest;
struct RenewReply;
struct Announcement;
struct QuiesceReply;
struct BorrowRequest;
struct BorrowReply;
class FleetServer;
class FleetClient;

} // namespace cardamomstep::fleet
