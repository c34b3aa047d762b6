// Structured log lines through Boost.Log.
#include "logging/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>

namespace cardamomstep {

namespace {

namespace logging = boost::log;

struct LogState {
    std::atomic<LogLevel> level{LogLevel::Info};
    LogFormat format = LogFormat::KeyValue;
    std::string instance;
};

LogState &state()
{
    static LogState instance;
    return instance;
}

std::string_view levelName(LogLevel level)
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

/// \a value as it stands in a key=value line: quoted when it holds anything but plain letters.
std::string keyValueText(const std::string &value)
{
    const bool plain = !value.empty() && value.find_first_of(" =\"\\\n\r\t") == std::string::npos;
    return plain ? value : nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

Result<Success> setUpLog(const LogSettings &settings, const std::string &instance)
{
    auto &current = state();
    current.level = settings.level;
    current.format = settings.format;
    current.instance = instance;
    const auto core = logging::core::get();
    core->remove_all_sinks();
    const auto format = logging::expressions::stream << logging::expressions::smessage;
    if (settings.file.empty()) {
        logging::add_console_log(std::clog, logging::keywords::format = format, logging::keywords::auto_flush = true);
        return Success{};
    }
    if (!std::ofstream(settings.file, std::ios::app)) {
        return Error{ErrorKind::InvalidSettings, "cannot write the log file " + settings.file};
    }
    logging::add_file_log(logging::keywords::file_name = settings.file,
                          logging::keywords::format = format,
                          logging::keywords::open_mode = std::ios::app,
                          logging::keywords::auto_flush = true);
    return Success{};
}

std::string
formatLine(LogFormat format, LogLevel level, std::string_view instance, std::string_view event, std::initializer_list<LogField> fields)
{
    if (format == LogFormat::Json) {
        nlohmann::ordered_json line{{"level", levelName(level)}, {"instance", instance}, {"event", event}};
        for (const auto &field : fields) {
            line[std::string(field.key)] = field.value;
        }
        return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    std::string line =
        "level=" + std::string(levelName(level)) + " instance=" + keyValueText(std::string(instance)) + " event=" + std::string(event);
    for (const auto &field : fields) {
        line += " " + std::string(field.key) + "=" + keyValueText(field.value);
    }
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto &current = state();
    if (level < current.level) {
        return;
    }
    auto line = formatLine(current.format, level, current.instance, event, fields);
    if (current.format == LogFormat::Json) {
        line.insert(1, "\"time\":\"" + timeNow() + "\",");
    } else {
        line.insert(0, "time=" + timeNow() + " ");
    }
    thread_local logging::sources::logger logger;
    BOOST_LOG(logger) << line;
}

} // namespace cardamomstep
