// Network addresses of the form "IP:port", and HTTP reason phrases.
#pragma once

#include "base/ids.h"
#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomstep::http {

/// The parts of an Address.
struct IpPort {
    std::string ip;
    std::uint16_t port = 0;
};

/// Parses \a address; the error is ErrorKind::MalformedRequest if it is not of the form "IP:port".
[[nodiscard]] Result<IpPort> parseAddress(const Address &address);

/// Returns the standard reason phrase of an HTTP \a status; "Other" for a status that is not listed.
[[nodiscard]] std::string_view reasonPhrase(int status) noexcept;

} // namespace cardamomstep::http
