// Polls for the proxies that are behind a revision until there are none.
#include "cli/impl/wait.h"

#include "cli/impl/output.h"

#include <string>
#include <thread>

namespace cardamomstep::cli::impl {

namespace {

constexpr Milliseconds pollInterval{200};
constexpr std::size_t maxNamedProxies = 10;

std::string namesOf(const nlohmann::json &proxies)
{
    std::string names;
    for (std::size_t index = 0; index < proxies.size() && index < maxNamedProxies; ++index) {
        names += (names.empty() ? "" : ", ") + cell(proxies[index], "instance");
    }
    return proxies.size() > maxNamedProxies ? names + " and " + std::to_string(proxies.size() - maxNamedProxies) + " more" : names;
}

} // namespace

ExitCode waitInForce(OperatorClient &client, std::uint64_t revision, Milliseconds timeout, std::ostream &err)
{
    const auto deadline = steadyNow() + timeout;
    ApiRequest request;
    request.path = "/v1/status";
    request.query = {{"behind", std::to_string(revision)}};
    for (;;) {
        const auto status = client.send(request);
        if (status && status->contains("proxies") && (*status)["proxies"].empty()) {
            return ExitCode::Ok;
        }
        if (steadyNow() + pollInterval > deadline) {
            const auto lagging =
                status ? "on " + namesOf(status->value("proxies", nlohmann::json::array())) : "(the proxies' status is unknown)";
            err << "cardamomstep: accepted, but revision " << revision << " is not in force yet " << lagging << "\n";
            return ExitCode::Failed;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace cardamomstep::cli::impl
