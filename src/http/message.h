// HTTP requests and responses as plain values, independent of any library.
#pragma once

#include "http/fwd.h"

#include <map>
#include <string>

namespace cardamomstep::http {

/// Header fields by lower-case name.
using Headers = std::map<std::string, std::string>;

/// A request, as passed to a server's handler and to a client connection.
struct Request {
    std::string method = "GET";
    /// Path without the query, for example "/v1/report".
    std::string path;
    /// Decoded query parameters; set by the server, appended to the path by the client.
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;

    /// Returns the header \a name (in lower case), or an empty string.
    [[nodiscard]] std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }

    /// Returns the query parameter \a name, or an empty string.
    [[nodiscard]] std::string parameter(const std::string &name) const
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }
};

/// A response.
struct Response {
    int status = 200;
    Headers headers;
    std::string body;
};

} // namespace cardamomstep::http
