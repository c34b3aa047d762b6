// Queries session proxies.
#include "cli/impl/sessionproxyquery.h"

#include "base/error.h"
#include "http/connection.h"
#include "json/untrusted.h"

#include <vector>

namespace cardamomstep::cli::impl {

Checked<nlohmann::json> querySessionProxy(const Address &address, const http::Request &request)
{
    constexpr Milliseconds timeout{5'000};
    http::Connection connection(address);
    const auto result = connection.exchange(request, timeout);
    if (!result.response) {
        return std::vector<Error>{Error{ErrorKind::EndpointUnreachable, address.text() + ": " + result.failure.description}};
    }
    auto answer = json::parseUntrusted(result.response->body);
    if (result.response->status == 400 && answer.is_object() && answer.contains("error") && answer["error"].is_string()) {
        return std::vector<Error>{Error{ErrorKind::MalformedRequest, answer["error"].get<std::string>()}};
    }
    if (result.response->status != 200 || !answer.is_object()) {
        return std::vector<Error>{Error{ErrorKind::EndpointUnreachable, address.text() + " is not the metrics address of a session proxy"}};
    }
    return answer;
}

} // namespace cardamomstep::cli::impl
