// The records that a command reads from files, folders or standard input, in the order to apply them.
#pragma once

#include "records/record.h"
#include "json/checked.h"

#include <string>
#include <vector>

namespace cardamomstep::cli::impl {

/// A record and the file that it was read from.
struct SourceRecord {
    std::string file;
    Record record;
};

/// Reads the records in \a path: a file, a folder (its *.json files by name), or "-" for standard input.
///
/// Returns the records in the order in which they can be applied: groups, intents, plans; or all faults of all files.
[[nodiscard]] Checked<std::vector<SourceRecord>> readSources(const std::string &path);

} // namespace cardamomstep::cli::impl
