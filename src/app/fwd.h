// Forward declarations of the app slice: the process that puts the slices together.
#pragma once

namespace cardamomstep {

class Fleet;
class StoreFollower;
class Ownership;
class Proxy;

} // namespace cardamomstep
