// HTTP requests and responses as plain values, apart from any library.
#pragma once

#include "http/fwd.h"

#include <map>
#include <string>

namespace cardamomstep::http {

/// Header fields by lower-case name.
using Headers = std::map<std::string, std::string>;

/// A request, as the server hands it to the handler and the client takes it.
struct Request {
    std::string method = "GET";
    /// Path without the query, for example "/v1/report".
    std::string path;
    /// Decoded query parameters; the server fills them, the client adds them to the path.
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;

    /// The header \a name (in lower case), or an empty text.
    [[nodiscard]] std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }

    /// The query parameter \a name, or an empty text.
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
