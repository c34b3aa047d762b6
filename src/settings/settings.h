// The settings of one proxy process, as plain values.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "settings/fwd.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cardamomstep {

/// Lowest severity that is logged.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// Form of a log line.
enum class LogFormat : std::uint8_t {
    KeyValue,
    Json,
};

/// Where callers connect; TLS when both files are set.
struct CallerSettings {
    Address listen;
    std::string certificateFile;
    std::string keyFile;
};

/// Where operators connect.
struct OperatorSettings {
    Address listen;
    /// Bearer token that operators present; never logged.
    std::string token;
};

/// How proxies reach each other; mutual TLS when all three files are set.
struct PeerSettings {
    Address listen;
    /// Address that other proxies connect to.
    Address advertise;
    std::string certificateFile;
    std::string keyFile;
    std::string caFile;
};

/// Where the platform's services are.
struct PlatformSettings {
    Address store;
    /// The same as `store` unless set.
    Address instanceList;
};

/// A proxy that is known at start, before any list arrived.
struct Seed {
    InstanceName name;
    FailureDomain failureDomain;
    /// Its peer address.
    Address address;
};

/// Bounds on what callers may use.
struct LimitSettings {
    std::uint32_t callerConnections = 4096;
    /// Largest request body.
    std::size_t bodyBytes = std::size_t{1} << 20U;
    /// Longest session token.
    std::size_t tokenBytes = 4096;
    unsigned threads = 200;
    /// Longest window that a request may ask for.
    Milliseconds maxWindow{60'000};
    /// Most caller requests in flight at once.
    std::uint32_t inFlight = 2048;
};

/// When a primary counts as failed.
struct FailoverSettings {
    /// Silence after which a primary is replaced; a shorter pause never promotes.
    Milliseconds silence{200};
    /// Time between two heartbeats.
    Milliseconds heartbeat{50};
};

/// What is logged, and where to.
struct LogSettings {
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::KeyValue;
    /// Standard error when empty.
    std::string file;
};

/// Recording of decision inputs.
struct TraceSettings {
    /// Nothing is recorded when empty.
    std::string file;
};

/// All settings of one proxy process.
struct Settings {
    InstanceName instance;
    FailureDomain failureDomain;
    /// Region of the failure domain; empty when there is only one.
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
    /// Longest time that a stop waits for requests in flight.
    Milliseconds drain{30'000};
};

} // namespace cardamomstep
