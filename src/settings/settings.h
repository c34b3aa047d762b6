// The settings of one proxy process.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "settings/fwd.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cardamomstep {

/// The lowest severity that is logged.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// The format of log lines.
enum class LogFormat : std::uint8_t {
    KeyValue,
    Json,
};

/// The interface for callers; uses TLS when both files are set.
struct CallerSettings {
    Address listen;
    std::string certificateFile;
    std::string keyFile;
};

/// The interface for operators.
struct OperatorSettings {
    Address listen;
    /// Bearer token of operators' requests; never logged.
    std::string token;
};

/// The interface between proxies; uses mutual TLS when all three files are set.
struct PeerSettings {
    Address listen;
    /// The address to which other proxies connect.
    Address advertise;
    std::string certificateFile;
    std::string keyFile;
    std::string caFile;
};

/// The addresses of the platform's services.
struct PlatformSettings {
    Address store;
    /// Equal to `store` unless set.
    Address instanceList;
};

/// A proxy that is known at start, before the first list of instances arrives.
struct Seed {
    InstanceName name;
    FailureDomain failureDomain;
    /// Its peer address.
    Address address;
};

/// Limits on callers' requests and connections.
struct LimitSettings {
    /// The most connections from callers at once.
    std::uint32_t callerConnections = 4096;
    /// The largest request body.
    std::size_t bodyBytes = std::size_t{1} << 20U;
    /// The longest session token.
    std::size_t tokenBytes = 4096;
    /// The most threads that handle callers' requests.
    unsigned threads = 200;
    /// The longest window that a request may specify.
    Milliseconds maxWindow{60'000};
    /// The most caller requests in flight at once.
    std::uint32_t inFlight = 2048;
};

/// The conditions under which a primary counts as failed.
struct FailoverSettings {
    /// Time without contact after which a primary is replaced; a shorter silence never causes a promotion.
    Milliseconds silence{200};
    /// Time between two heartbeats.
    Milliseconds heartbeat{50};
};

/// The level, format and destination of the log.
struct LogSettings {
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::KeyValue;
    /// Path of the log file; standard error when empty.
    std::string file;
};

/// Recording of decision inputs.
struct TraceSettings {
    /// Prefix of the paths of the trace files, one for each group: FILE.GROUP.jsonl; nothing is recorded when empty.
    std::string file;
};

/// All settings of one proxy process.
struct Settings {
    InstanceName instance;
    FailureDomain failureDomain;
    /// Region of the failure domain; empty when there is only one region.
    std::string region;
    CallerSettings callers;
    OperatorSettings operators;
    PeerSettings peers;
    PlatformSettings platform;
    std::vector<Seed> seeds;
    LimitSettings limits;
    FailoverSettings failover;
    LogSettings log;
    TraceSettings trace;
    /// The longest time for which a stopping proxy waits for requests in flight.
    Milliseconds drain{30'000};
};

} // namespace cardamomstep
