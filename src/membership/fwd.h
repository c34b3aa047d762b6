// Forward declarations of the membership slice: which proxies live and who owns which group.
#pragma once

namespace cardamomstep {

struct LiveInstance;
class InstanceSet;
class MembershipView;

} // namespace cardamomstep
