// Forward declarations of the app module, which composes the other modules into a proxy process.
#pragma once

namespace cardamomstep {

class ConfigurationService;
class MembershipService;
class Ownership;
class Proxy;
class RecordWriter;
class TaskPool;

} // namespace cardamomstep
