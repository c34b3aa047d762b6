// Formats the parts of a log line.
#include "logging/impl/linetext.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>

namespace cardamomstep::impl {

std::string_view levelName(LogLevel level) noexcept
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

std::string timeNow()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32] = {};
    const auto length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto fraction = std::to_string(1000 + milliseconds).substr(1);
    return std::string(text, length) + "." + fraction + "Z";
}

void appendValue(std::string &line, std::string_view value)
{
    const bool plain = !value.empty() && value.find_first_of(" =\"\\\n\r\t") == std::string_view::npos;
    if (plain) {
        line += value;
        return;
    }
    line += nlohmann::json(std::string(value)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cardamomstep::impl
