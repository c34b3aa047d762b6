// Forward declarations of the relay module: callers' sessions, served over pooled connections to members.
#pragma once

namespace cardamomstep::relay {

struct SessionStatement;
struct CallerReply;
struct MemberReply;
struct MemberRequest;
struct Route;
struct MemberEntry;
class RoutingTable;
class MemberDirectory;
class CallerSession;
class MemberPool;
class Engine;

} // namespace cardamomstep::relay
