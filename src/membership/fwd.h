// Forward declarations of the membership module: which proxies are alive and which of them own a group.
#pragma once

namespace cardamomstep {

struct LiveInstance;
struct MemberUpdate;
struct MembershipOptions;
class InstanceSet;
class MembershipView;

} // namespace cardamomstep
