// Reads settings from JSON and reports every fault at once.
#pragma once

#include "settings/settings.h"
#include "json/checked.h"

#include <string>
#include <string_view>

namespace cardamomstep {

/// Reads the settings in \a text, which came from \a fileName.
///
/// Faults have the kind ErrorKind::InvalidSettings (ErrorKind::TooLarge for an oversize text) and hold file, line and key path:
/// unknown and duplicate keys, wrong types, values out of range, missing keys and values that contradict each other.
[[nodiscard]] Checked<Settings> readSettings(const std::string &fileName, std::string_view text);

/// Reads the settings file \a fileName; a file that cannot be read is a fault too.
[[nodiscard]] Checked<Settings> readSettingsFile(const std::string &fileName);

} // namespace cardamomstep
