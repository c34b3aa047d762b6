// Parses addresses and maps HTTP statuses to reason phrases.
#include "http/address.h"

#include <charconv>

namespace cardamomstep::http {

Result<IpPort> parseAddress(const Address &address)
{
    const auto &text = address.text();
    const auto colon = text.rfind(':');
    const Error malformed{ErrorKind::MalformedRequest, "expected IP:port, got \"" + text + "\""};
    if (colon == std::string::npos || colon == 0) {
        return malformed;
    }
    IpPort result{text.substr(0, colon), 0};
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, result.port);
    const bool onlyAddressCharacters = result.ip.find_first_not_of("0123456789.:abcdefABCDEF[]") == std::string::npos;
    if (read.ec != std::errc{} || read.ptr != end || result.port == 0 || !onlyAddressCharacters) {
        return malformed;
    }
    return result;
}

std::string_view reasonPhrase(int status) noexcept
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Payload Too Large";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Other";
    }
}

} // namespace cardamomstep::http
