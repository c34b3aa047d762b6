// Forward declarations of the configuration slice: the accepted records of all kinds and how they spread.
#pragma once

namespace cardamomstep {

struct ConfigurationDigest;
struct ConfigurationDelta;
class ConfigurationState;
class ConfigurationGossip;
class ConfigurationFreshness;

} // namespace cardamomstep
