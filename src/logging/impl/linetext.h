// The parts of a log line.
#pragma once

#include "settings/settings.h"

#include <string>
#include <string_view>

namespace cardamomstep::impl {

[[nodiscard]] std::string_view levelName(LogLevel level) noexcept;

/// The time of day with milliseconds, in UTC.
[[nodiscard]] std::string timeNow();

/// Appends \a value as it stands in a key=value line: quoted when it holds anything but plain letters.
void appendValue(std::string &line, std::string_view value);

} // namespace cardamomstep::impl
