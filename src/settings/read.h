// Reads a proxy's settings from JSON and reports all faults at once.
#pragma once

#include "settings/settings.h"
#include "json/checked.h"

#include <string>
#include <string_view>

namespace cardamomstep {

/// Reads the settings in \a text; \a fileName is only used for the positions of faults.
///
/// Faults have the kind ErrorKind::InvalidSettings (ErrorKind::TooLarge for an oversize text) and hold file, line and key path:
/// unknown and duplicate keys, wrong types, values out of range, missing keys and inconsistent values.
[[nodiscard]] Checked<Settings> readSettings(const std::string &fileName, std::string_view text);

/// Reads the settings file \a fileName; a file that cannot be read is a fault too.
[[nodiscard]] Checked<Settings> readSettingsFile(const std::string &fileName);

} // namespace cardamomstep
