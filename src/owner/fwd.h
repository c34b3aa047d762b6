// Forward declarations of the owner module: the I/O layer that performs the decisions about one database group.
#pragma once

namespace cardamomstep {

struct GroupOwnerOptions;
struct GroupOwnerHandlers;
class GroupOwner;
class Waiter;
class WaitList;
class ControlWorker;
class MemberConnections;

} // namespace cardamomstep
