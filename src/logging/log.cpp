// Formats structured log lines and writes them through Boost.Log.
#include "logging/log.h"

#include "logging/impl/linetext.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <iostream>

namespace cardamomstep {

namespace {

namespace logging = boost::log;
using impl::levelName;
using impl::timeNow;

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
    std::string line = "level=" + std::string(levelName(level)) + " instance=";
    impl::appendValue(line, instance);
    line += " event=" + std::string(event);
    for (const auto &field : fields) {
        line += " " + std::string(field.key) + "=";
        impl::appendValue(line, field.value);
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
