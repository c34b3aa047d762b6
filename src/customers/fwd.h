// Forward declarations of the customers module: who may call, and how much.
#pragma once

namespace cardamomstep::customers {

class KeyDigest;
struct RateLimit;
struct Customer;
class CustomerDirectory;
struct CallerIdentity;
class CustomerLimits;

} // namespace cardamomstep::customers
