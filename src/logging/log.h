// Structured log lines: an event name and fields, as key=value or JSON, written through Boost.Log.
#pragma once

#include "base/result.h"
#include "settings/settings.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cardamomstep {

/// One field of a log line. Must not contain statement arguments or tokens.
struct LogField {
    std::string_view key;
    std::string value;

    LogField(std::string_view name, std::string text)
        : key(name)
        , value(std::move(text))
    {
    }
    LogField(std::string_view name, std::string_view text)
        : key(name)
        , value(text)
    {
    }
    LogField(std::string_view name, const char *text)
        : key(name)
        , value(text)
    {
    }
    LogField(std::string_view name, std::int64_t number)
        : key(name)
        , value(std::to_string(number))
    {
    }
};

/// Sets the level, the format and the target of the log; the error is ErrorKind::InvalidSettings when the file cannot be opened.
[[nodiscard]] Result<Success> setUpLog(const LogSettings &settings, const std::string &instance);

/// Writes one line with the time, the level, the instance, \a event and \a fields, unless \a level is below the log's.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// Formats the line that logEvent() writes, without its time.
[[nodiscard]] std::string
formatLine(LogFormat format, LogLevel level, std::string_view instance, std::string_view event, std::initializer_list<LogField> fields);

} // namespace cardamomstep
