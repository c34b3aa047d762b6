// The client of a proxy's operators' interface.
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

/// The proxy to query and the operator's identity.
struct ClientOptions {
    Address address;
    std::string token;
    /// The operator's name for the audit trail.
    std::string who;
    /// The longest wait for one answer.
    Milliseconds timeout{10'000};
};

/// Adds the options shared by all commands that query a proxy.
void addClientOptions(CommandLine &line);

/// Reads each of the client's options from \a line, else from the environment, else from the client file.
///
/// Faults have the kind ErrorKind::InvalidSettings.
[[nodiscard]] Checked<ClientOptions> readClientOptions(const CommandLine &line);

/// A request to the operators' interface.
struct ApiRequest {
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    /// The record's required current version; sent as `if-match`.
    std::optional<std::uint64_t> expected;
    /// The revision that the proxy must have in force before it handles the request; sent as `x-min-revision`, 0 for any.
    std::uint64_t minRevision = 0;
    /// How long the proxy may delay its answer on purpose; added to the timeout.
    Milliseconds extraWait{0};
};

/// Sends requests to one proxy.
class OperatorClient
{
public:
    explicit OperatorClient(ClientOptions options);

    /// Sends a request and returns the answer's JSON.
    ///
    /// The faults are those of the proxy's answer. Without an answer: ErrorKind::EndpointUnreachable for a read or when nothing was
    /// sent, ErrorKind::OutcomeUnknown for a change that may have arrived. A read that fails on a reused connection is sent once more,
    /// since the proxy may have closed that connection while it was idle.
    [[nodiscard]] Checked<nlohmann::json> send(const ApiRequest &apiRequest);

private:
    [[nodiscard]] Checked<nlohmann::json> sendOnce(const http::Request &request, Milliseconds timeout);

    ClientOptions options_;
    http::Connection connection_;
};

} // namespace cardamomstep::cli
