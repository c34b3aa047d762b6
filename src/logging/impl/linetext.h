// Formats the parts of a log line.
#pragma once

#include "settings/settings.h"

#include <string>
#include <string_view>

namespace cardamomstep::impl {

[[nodiscard]] std::string_view levelName(LogLevel level) noexcept;

/// Returns the current date and time in UTC with milliseconds, as "2026-01-31T08:05:09.123Z".
[[nodiscard]] std::string timeNow();

/// Appends \a value in the form of a key=value line: quoted as in JSON when it is empty or contains a space, an equals sign, a quote, a
/// backslash or a line break.
void appendValue(std::string &line, std::string_view value);

} // namespace cardamomstep::impl
