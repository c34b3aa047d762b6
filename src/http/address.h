// Network addresses as "IP:port".
#pragma once

#include "base/ids.h"
#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomstep::http {

/// The two parts of an Address.
struct IpPort {
    std::string ip;
    std::uint16_t port = 0;
};

/// Splits \a address; the error is ErrorKind::MalformedRequest when it is not "IP:port".
[[nodiscard]] Result<IpPort> parseAddress(const Address &address);

/// The standard reason phrase of an HTTP \a status.
[[nodiscard]] std::string_view reasonPhrase(int status) noexcept;

} // namespace cardamomstep::http
