// Forward declarations of the membership slice: which proxies live and who owns which group.
#pragma once

namespace cardamomstep {

struct LiveInstance;
struct MemberUpdate;
struct MembershipOptions;
class InstanceSet;
class MembershipView;

} // namespace cardamomstep
