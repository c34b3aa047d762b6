// Forward declarations of the configuration module: the accepted records of all kinds and their propagation between proxies.
#pragma once

namespace cardamomstep {

struct ConfigurationDigest;
struct ConfigurationDelta;
class ConfigurationState;
class ConfigurationGossip;
class ConfigurationFreshness;

} // namespace cardamomstep
