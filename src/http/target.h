// The target of a request: its path and its query.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace cardamomstep::http {

/// A request's target, decoded.
struct Target {
    std::string path;
    std::map<std::string, std::string> query;

    /// Returns the query parameter \a name, or an empty string.
    [[nodiscard]] std::string parameter(const std::string &name) const
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }
};

/// Decodes \a text, for example "/route?database=orders".
[[nodiscard]] Target parseTarget(std::string_view text);

} // namespace cardamomstep::http
