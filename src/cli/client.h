// A command's connection to the operators' interface of a proxy.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "cli/fwd.h"
#include "http/connection.h"
#include "json/checked.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstep::cli {

/// Where and as whom a command asks.
struct ClientOptions {
    Address address;
    std::string token;
    /// Name for the audit trail.
    std::string who;
    /// Longest wait for one answer.
    Milliseconds timeout{10'000};
};

/// Adds the options of all commands that ask a proxy.
void addClientOptions(CommandLine &line);

/// Reads the client's options: first from \a line, then from the environment, then from the client file.
///
/// Faults have the kind ErrorKind::InvalidSettings.
[[nodiscard]] Checked<ClientOptions> readClientOptions(const CommandLine &line);

/// A request of a command.
struct ApiRequest {
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    /// Version that must be current.
    std::optional<std::uint64_t> expected;
    /// Revision that must be in force at the proxy first.
    std::uint64_t minRevision = 0;
    /// Time that the proxy may take on purpose, on top of the timeout.
    Milliseconds extraWait{0};
};

/// Asks one proxy.
class OperatorClient
{
public:
    explicit OperatorClient(ClientOptions options);

    /// Asks and returns the answer's JSON.
    ///
    /// The faults are those of the proxy's answer. Without an answer: ErrorKind::EndpointUnreachable for a read or where nothing was
    /// sent, ErrorKind::OutcomeUnknown for a change that may have arrived. Reads are asked again once.
    [[nodiscard]] Checked<nlohmann::json> send(const ApiRequest &apiRequest);

private:
    [[nodiscard]] Checked<nlohmann::json> sendOnce(const http::Request &request, Milliseconds timeout);

    ClientOptions options_;
    http::Connection connection_;
};

} // namespace cardamomstep::cli
