// Forward declarations of the app slice: the process that puts the slices together.
#pragma once

namespace cardamomstep {

class ConfigurationService;
class MembershipService;
class Ownership;
class Proxy;
class RecordWriter;
class TaskPool;

} // namespace cardamomstep
